package discovery

import (
	"io"
	"unicode"
)

// livenessReader reads the body of a response and reports signs of life in it: the end of a line between two lists, the
// first byte of a list, and the end of a list. Other bytes of a list do not count, so that a list that arrives byte by
// byte, or stops in the middle, does not keep the watch alive.
type livenessReader struct {
	body       io.Reader
	onAlive    func() // called at each sign of life
	insideList bool
	size       int // bytes of the current list read so far, without blanks before it
}

// Read implements io.Reader. It fails with a *SizeError at a list that is too large.
func (r *livenessReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.scan(b[:n])
	if r.size > maxListBytes {
		return 0, &SizeError{maxListBytes}
	}
	return n, err
}

func (r *livenessReader) scan(b []byte) {
	for i, c := range b {
		if r.insideList {
			r.size += len(b) - i
			return
		}
		switch {
		case c == '\n':
			r.onAlive()
		case !unicode.IsSpace(rune(c)):
			r.insideList = true
			r.size++
			r.onAlive()
		}
	}
}

// listEnded records that a list is complete. rest holds the bytes that were read after it.
func (r *livenessReader) listEnded(rest io.Reader) error {
	b, err := io.ReadAll(rest)
	if err != nil {
		return err
	}
	r.insideList = false
	r.size = 0
	r.onAlive()
	r.scan(b)
	return nil
}

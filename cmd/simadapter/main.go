// Command simadapter connects routers of package balance to the simulator's line protocol. It reads batches of events
// from standard input, and answers each batch with the actions of its instances on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

const bufferSize = 1 << 20 // bytes of each buffer

// run answers batches until the input ends. It reports invalid lines to diagnostics and skips them.
func run(in io.Reader, out, diagnostics io.Writer) error {
	lines := &lineReader{in: bufio.NewReaderSize(in, bufferSize)}
	replies := bufio.NewWriterSize(out, bufferSize)
	s := newSimulation(diagnostics)
	for {
		line, err := lines.next()
		if len(line) > 0 && s.handleLine(line) {
			if err := s.writeReply(replies); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// lineReader reads lines of any length, without copying those that fit into its buffer.
type lineReader struct {
	in   *bufio.Reader
	long []byte // the first part of a line that does not fit into the buffer
}

// next returns the next line without its line break. The line is valid until the next call. It may be returned together
// with an error, such as io.EOF after a last line without a line break.
func (r *lineReader) next() ([]byte, error) {
	r.long = r.long[:0]
	line, err := r.in.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long, line...)
		line, err = r.in.ReadSlice('\n')
	}
	if len(r.long) > 0 {
		r.long = append(r.long, line...)
		line = r.long
	}
	if n := len(line); n > 0 && line[n-1] == '\n' {
		line = line[:n-1]
	}
	return line, err
}

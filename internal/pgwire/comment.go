package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Query is a statement with the comment that heads it.
type Query struct {
	ID      string
	Class   string
	Cluster int64
	Wait    int64 // microseconds that the client waits for the answer; -1 if it does not say
	After   int64 // position that a read must see, in microseconds since 1970; 0 if none
	Key     string
	HasKey  bool

	text             []byte // as it came
	waitAt, waitEnds int    // where in it the wait stands
	command          string
}

// Command is the first word of the statement, in capitals.
func (q *Query) Command() string { return q.command }

const (
	maxID      = 64
	maxCluster = 1 << 31
	maxWait    = 3600e6 // an hour
)

// isID tells whether s can be an id: some letters, digits and signs that join them.
func isID(s string) bool {
	for _, ch := range []byte(s) {
		if !('0' <= ch && ch <= '9' || 'a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z' || ch == '-' || ch == '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxID
}

// ParseQuery reads the text of a query: a comment of names and values, then the statement. The text is kept as
// it is; names that it does not know are left alone.
func ParseQuery(text []byte) (*Query, error) {
	q := &Query{Wait: -1, text: text}
	start := len(text) - len(bytes.TrimLeft(text, " \t\r\n"))
	if !bytes.HasPrefix(text[start:], []byte("/*")) {
		return nil, errors.New("the statement has no comment in front of it")
	}
	start += 2
	length := bytes.Index(text[start:], []byte("*/"))
	if length < 0 {
		return nil, errors.New("the comment in front of the statement does not end")
	}
	seen := map[string]bool{}
	for at, stop := start, start+length; at < stop; {
		part := text[at:stop]
		if i := bytes.IndexByte(part, ','); i >= 0 {
			part = part[:i]
		}
		before, value, found := bytes.Cut(part, []byte{'='})
		name := string(bytes.TrimSpace(before))
		valueAt := at + len(before) + 1
		at += len(part) + 1
		if !found {
			continue
		}
		valueAt += len(value) - len(bytes.TrimLeft(value, " "))
		value = bytes.TrimSpace(value)
		var err error
		switch name {
		case "id":
			if q.ID = string(value); !isID(q.ID) {
				err = fmt.Errorf("%.80q is no id", q.ID)
			}
		case "c":
			q.Class = string(value)
		case "d":
			if q.Wait, err = Decimal(string(value), 3, false); err == nil && (q.Wait == 0 || q.Wait > maxWait) {
				err = fmt.Errorf("nobody waits %s ms", value)
			}
			q.waitAt, q.waitEnds = valueAt, valueAt+len(value)
		case "cluster":
			if q.Cluster, err = strconv.ParseInt(string(value), 10, 64); err == nil && (q.Cluster < 0 || q.Cluster > maxCluster) {
				err = fmt.Errorf("no group has the number %s", value)
			}
		case "after":
			q.After, err = Decimal(string(value), 3, true)
		default:
			continue
		}
		if err == nil && seen[name] { // a host might read the other one
			err = errors.New("named twice")
		}
		if err != nil {
			return nil, fmt.Errorf("comment: %s: %w", name, err)
		}
		seen[name] = true
	}
	for _, key := range [...]string{"id", "c", "cluster"} {
		if !seen[key] {
			return nil, fmt.Errorf("comment: %s: missing", key)
		}
	}
	q.command = Command(string(text[start+length+2:]))
	_, quoted, found := bytes.Cut(text[start+length+2:], []byte{'\''})
	if key, _, closed := bytes.Cut(quoted, []byte{'\''}); found && closed {
		q.Key, q.HasKey = string(key), true
	}
	return q, nil
}

// Append appends the query as a message: unchanged, but for the wait, which becomes the given one in
// milliseconds.
func (q *Query) Append(b []byte, wait int64) []byte {
	b, at := begin(b, 'Q')
	if q.waitEnds > q.waitAt {
		b = append(b, q.text[:q.waitAt]...)
		b = strconv.AppendInt(b, max(wait/1000, 1), 10)
		b = append(b, q.text[q.waitEnds:]...)
	} else {
		b = append(b, q.text...)
	}
	return end(append(b, 0), at)
}

// KeyID is the key as a number.
func (q *Query) KeyID() int64 {
	if !q.HasKey {
		return 0
	}
	if n, err := strconv.ParseUint(q.Key, 16, 64); err == nil {
		return int64(n)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(q.Key))
	return int64(h.Sum64())
}

// Command is the first word of a statement in capitals, if it stands alone in front and no comment does; an
// empty statement has none. A statement under a comment is told apart by the comment, so its word is "/*".
func Command(text string) string {
	text = strings.TrimLeft(text, " \t\r\n;")
	if strings.HasPrefix(text, "/*") {
		return "/*"
	}
	end := strings.IndexAny(text, " \t\r\n;")
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end])
}

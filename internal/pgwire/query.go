package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Query is a statement with the comment that precedes it.
type Query struct {
	ID          string
	Class       string
	Group       int64 // number of the host group
	Wait        int64 // microseconds that the client waits for the answer; -1 if not stated
	MinPosition int64 // log position that a read must include, in microseconds since 1970; 0 if none
	Key         string
	HasKey      bool

	text               []byte // as received
	waitStart, waitEnd int    // offsets of the value of the wait in text
	command            string
}

// Names of values in the comment.
const (
	nameID      = "id"
	nameClass   = "c"
	nameWait    = "d"
	nameCluster = "cluster"
	nameAfter   = "after"
)

const (
	maxIDSize  = 64 // bytes
	maxCluster = 1 << 31
	maxWait    = 3600e6 // microseconds
)

// decimalsOfMicros is the scale at which ParseDecimal reads a value in milliseconds as a number of microseconds.
const decimalsOfMicros = 3

// Errors of ParseQuery. Their texts are sent to the client.
var (
	ErrNoComment           = errors.New("the statement has no comment in front of it")
	ErrCommentNotEnded     = errors.New("the comment in front of the statement does not end")
	ErrCommentNameRepeated = errors.New("named twice")
	ErrCommentNameMissing  = errors.New("missing")
)

// CommentError is an error in one value of the comment.
type CommentError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *CommentError) Error() string { return "comment: " + e.Name + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *CommentError) Unwrap() error { return e.Err }

// Command returns the first word of the statement, in upper case.
func (q *Query) Command() string { return q.command }

// ParseQuery parses the text of a query: a comment with names and values, followed by the statement. Unknown names are
// ignored. The query keeps the text, which must not be changed afterwards.
func ParseQuery(text []byte) (*Query, error) {
	start, end, err := findComment(text)
	if err != nil {
		return nil, err
	}
	q := &Query{Wait: -1, text: text}
	if err := q.parseComment(start, end); err != nil {
		return nil, err
	}
	statement := text[end+len("*/"):]
	q.command = Command(string(statement))
	q.Key, q.HasKey = firstLiteral(statement)
	return q, nil
}

// findComment returns the offsets of the start and end of the comment's content.
func findComment(text []byte) (start, end int, err error) {
	start = len(text) - len(bytes.TrimLeft(text, " \t\r\n"))
	if !bytes.HasPrefix(text[start:], []byte("/*")) {
		return 0, 0, ErrNoComment
	}
	start += len("/*")
	length := bytes.Index(text[start:], []byte("*/"))
	if length < 0 {
		return 0, 0, ErrCommentNotEnded
	}
	return start, start + length, nil
}

// firstLiteral returns the content of the first string in single quotes.
func firstLiteral(statement []byte) (literal string, found bool) {
	_, quoted, found := bytes.Cut(statement, []byte{'\''})
	if !found {
		return "", false
	}
	content, _, closed := bytes.Cut(quoted, []byte{'\''})
	if !closed {
		return "", false
	}
	return string(content), true
}

// parseComment parses the pairs of names and values between two offsets of the text.
func (q *Query) parseComment(start, end int) error {
	seen := map[string]bool{}
	for at := start; at < end; {
		pair, _, _ := bytes.Cut(q.text[at:end], []byte{','})
		pairAt := at
		at += len(pair) + 1
		rawName, value, found := bytes.Cut(pair, []byte{'='})
		if !found {
			continue
		}
		name := string(bytes.TrimSpace(rawName))
		valueAt := pairAt + len(rawName) + 1
		valueAt += len(value) - len(bytes.TrimLeft(value, " "))
		known, err := q.setValue(name, bytes.TrimSpace(value), valueAt)
		if !known {
			continue
		}
		if err == nil && seen[name] {
			err = ErrCommentNameRepeated // a host might use the other value
		}
		if err != nil {
			return &CommentError{name, err}
		}
		seen[name] = true
	}
	for _, name := range [...]string{nameID, nameClass, nameCluster} {
		if !seen[name] {
			return &CommentError{name, ErrCommentNameMissing}
		}
	}
	return nil
}

// setValue sets the value of a name; valueAt is the offset of the value in the text.
func (q *Query) setValue(name string, value []byte, valueAt int) (known bool, err error) {
	text := string(value)
	switch name {
	case nameID:
		q.ID = text
		if !isID(text) {
			err = fmt.Errorf("%.80q is no id", text)
		}
	case nameClass:
		q.Class = text
	case nameWait:
		q.waitStart = valueAt
		q.waitEnd = valueAt + len(value)
		q.Wait, err = ParseDecimal(text, decimalsOfMicros, false)
		if err == nil && (q.Wait == 0 || q.Wait > maxWait) {
			err = fmt.Errorf("nobody waits %s ms", text)
		}
	case nameCluster:
		q.Group, err = strconv.ParseInt(text, 10, 64)
		if err == nil && (q.Group < 0 || q.Group > maxCluster) {
			err = fmt.Errorf("no group has the number %s", text)
		}
	case nameAfter:
		q.MinPosition, err = ParseDecimal(text, decimalsOfMicros, true)
	default:
		return false, nil
	}
	return true, err
}

// isID reports whether s is a valid id: up to maxIDSize letters, digits, hyphens and underscores.
func isID(s string) bool {
	if s == "" || len(s) > maxIDSize {
		return false
	}
	for _, ch := range []byte(s) {
		if !isIDByte(ch) {
			return false
		}
	}
	return true
}

func isIDByte(ch byte) bool {
	switch {
	case '0' <= ch && ch <= '9', 'a' <= ch && ch <= 'z', 'A' <= ch && ch <= 'Z':
		return true
	}
	return ch == '-' || ch == '_'
}

// Append appends the query as a message. The text is unchanged except for the wait, which is replaced by the given one,
// converted from microseconds to milliseconds, at least 1. A query that states no wait is appended without one.
func (q *Query) Append(b []byte, wait int64) []byte {
	b, lengthAt := beginMessage(b, MsgQuery)
	if q.waitEnd > q.waitStart {
		b = append(b, q.text[:q.waitStart]...)
		b = strconv.AppendInt(b, max(wait/1000, 1), 10)
		b = append(b, q.text[q.waitEnd:]...)
	} else {
		b = append(b, q.text...)
	}
	return endMessage(append(b, 0), lengthAt)
}

// KeyID returns the key as a number. A hexadecimal key is taken as that number; any other key is hashed.
func (q *Query) KeyID() int64 {
	if !q.HasKey {
		return 0
	}
	if n, err := strconv.ParseUint(q.Key, 16, 64); err == nil {
		return int64(n)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(q.Key)) // never fails
	return int64(hash.Sum64())
}

// Command returns the first word of a statement in upper case. It returns "" for an empty statement, and "/*" for one
// that begins with a comment.
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

package simprotocol

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
)

// Line is one line of the protocol: a word that gives its type, then name=value parts in any order.
type Line struct{ Word, parts []byte }

// ParseLine splits a line. The result refers to the line's memory.
func ParseLine(line []byte) Line {
	word, parts, _ := bytes.Cut(line, []byte{' '})
	return Line{word, parts}
}

// Get returns the value of a part, or nil if it is absent.
func (l Line) Get(name string) []byte {
	rest := l.parts
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{' '})
		if value, ok := valueOf(part, name); ok {
			return value
		}
	}
	return nil
}

// GetToEnd returns the value of a part that contains all of the line after its name, or nil if it is absent.
func (l Line) GetToEnd(name string) []byte {
	rest := l.parts
	for len(rest) > 0 {
		if value, ok := valueOf(rest, name); ok {
			return value
		}
		_, rest, _ = bytes.Cut(rest, []byte{' '})
	}
	return nil
}

func valueOf(part []byte, name string) ([]byte, bool) {
	if len(part) <= len(name) || part[len(name)] != '=' || string(part[:len(name)]) != name {
		return nil, false
	}
	return part[len(name)+1:], true
}

// LineError reports a line that can't be decoded.
type LineError struct {
	Word string // the line's first word, or "feedback" for a fault in a host's report
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("%s: %v", e.Word, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

func (l Line) errorf(format string, args ...any) error {
	return &LineError{string(l.Word), fmt.Errorf(format, args...)}
}

// valueReader converts the values of a line's parts and records the first error. An absent part is converted to 0.
type valueReader struct {
	line Line
	err  error
}

func (r *valueReader) fail(name string, value []byte) {
	if r.err == nil {
		r.err = r.line.errorf("invalid value %q for %s", value, name)
	}
}

const (
	// maxFastDigits is the largest number of digits that is converted without strconv: any such number fits into 63
	// bits.
	maxFastDigits = 18
	// fractionLimit bounds integers that are written as fractions: beyond it a float64 may not fit into an int64.
	fractionLimit = 1 << 62
)

func (r *valueReader) int(name string) int64 {
	b := r.line.Get(name)
	if b == nil {
		return 0
	}
	if len(b) == 0 || len(b) > maxFastDigits {
		return r.parseInt(name, b)
	}
	var n int64
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return r.parseInt(name, b)
		}
		n = n*10 + int64(digit-'0')
	}
	return n
}

// parseInt converts what int does not convert itself: signed numbers, long numbers, and integers written as fractions
// ("7.0").
func (r *valueReader) parseInt(name string, b []byte) int64 {
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err == nil {
		return n
	}
	if f, err := strconv.ParseFloat(string(b), 64); err == nil && f == math.Trunc(f) && math.Abs(f) <= fractionLimit {
		return int64(f)
	}
	r.fail(name, b)
	return n
}

func (r *valueReader) bool(name string) bool { return r.int(name) != 0 }

// milliseconds converts a part in decimal milliseconds to microseconds.
func (r *valueReader) milliseconds(name string) int64 {
	b := r.line.Get(name)
	if b == nil {
		return 0
	}
	us, ok := parseMilliseconds(b)
	if !ok {
		r.fail(name, b)
	}
	return us
}

// maxMilliseconds limits times, so that their microseconds fit into an int64.
const maxMilliseconds = 9e15

// parseMilliseconds converts decimal milliseconds to microseconds, rounded to the nearest integer.
func parseMilliseconds(b []byte) (us int64, ok bool) {
	ms, ok := parseFloat(b)
	if !ok || math.Abs(ms) > maxMilliseconds {
		return 0, false
	}
	return microseconds(ms), true
}

// parseFloat reads a finite number.
func parseFloat(b []byte) (float64, bool) {
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}

package pgwire

import (
	"strings"
	"testing"
)

// A number is rounded in the requested direction. One with a sign, an exponent or too many digits is an error.
func TestDecimalIsRoundedOrRejected(t *testing.T) {
	for _, c := range []struct {
		in       string
		scale    int
		down, up int64
		bad      bool
	}{
		{in: "1767225600123", scale: 3, down: 1767225600123000, up: 1767225600123000},
		{in: "1767225600.123", scale: 6, down: 1767225600123000, up: 1767225600123000},
		{in: "1.2345678", scale: 6, down: 1234567, up: 1234568},
		{in: "0.5", scale: 0, down: 0, up: 1}, {in: "2.000", scale: 0, down: 2, up: 2},
		{in: "", bad: true}, {in: ".", bad: true}, {in: "-1", bad: true}, {in: "1.2.3", bad: true}, {in: "1e3", bad: true},
		{in: strings.Repeat("9", 40), bad: true}, {in: "99999999999999999", scale: 6, bad: true},
	} {
		down, err := ParseDecimal(c.in, c.scale, false)
		up, _ := ParseDecimal(c.in, c.scale, true)
		if (err != nil) != c.bad || err == nil && (down != c.down || up != c.up) {
			t.Errorf("%q: got %d and %d, %v", c.in, down, up, err)
		}
	}
}

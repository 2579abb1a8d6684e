package pgwire

import (
	"errors"
	"fmt"
	"strconv"
)

// maxDigits is the largest number of decimal digits of which every value fits into an int64.
const maxDigits = 18

// errNotDecimal is wrapped by the errors of ParseDecimal.
var errNotDecimal = errors.New("bad number")

// ParseDecimal parses an unsigned decimal number as a whole number of units of 10^-scale. It rounds up if up is set, and
// otherwise down.
func ParseDecimal(s string, scale int, up bool) (int64, error) {
	var n int64
	digits := 0
	fraction := -1 // digits read after the decimal point; -1 before it
	inexact := false
	for i := range len(s) {
		ch := s[i]
		switch {
		case ch == '.' && fraction < 0:
			fraction = 0
		case ch < '0' || ch > '9' || digits >= maxDigits:
			return 0, fmt.Errorf("%w %s", errNotDecimal, strconv.Quote(s))
		case fraction >= scale:
			inexact = inexact || ch != '0'
		default:
			n = n*10 + int64(ch-'0')
			digits++
			if fraction >= 0 {
				fraction++
			}
		}
	}
	if digits == 0 {
		return 0, fmt.Errorf("%w %s", errNotDecimal, strconv.Quote(s))
	}
	for missing := scale - max(fraction, 0); missing > 0; missing-- {
		digits++
		if digits > maxDigits {
			return 0, fmt.Errorf("number %s too large", strconv.Quote(s))
		}
		n *= 10
	}
	if inexact && up {
		n++
	}
	return n, nil
}

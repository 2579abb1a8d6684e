// Package random generates random numbers for packages that must behave the same for the same seed.
package random

// Source is a splitmix64 generator (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014). Its
// value is its state; the initial one is the seed. It is not safe for concurrent use.
type Source uint64

// Below returns a number from 0 up to, but not including, n. For n of 1 or less it returns 0, but still advances the
// source. Its bias towards small numbers is negligible for n far below 2^64.
func (s *Source) Below(n int64) int64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int64((z ^ z>>31) % uint64(max(n, 1)))
}

// Fraction returns a number in [0, 1), a multiple of 2^-30. It advances the source as often as one call of Below. The
// outer conversion keeps compilers from fusing the quotient with a sum of the caller.
func (s *Source) Fraction() float64 {
	const steps = 1 << 30
	return float64(float64(s.Below(steps)) / steps)
}

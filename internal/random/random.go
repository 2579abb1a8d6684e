// Package random is the one source of random numbers for modules that must act the same for the same seed.
package random

// Source is a generator (splitmix64); its value is its seed.
type Source uint64

// Below returns a number below n, or 0.
func (s *Source) Below(n int64) int64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int64((z ^ z>>31) % uint64(max(n, 1)))
}

package storesim

import (
	"io"
	"math/rand/v2"
)

// Streams of random numbers of one seed.
const (
	simulationStream = 77
	raftStream       = 99
)

// seededReader reads random bytes that a seed decides.
type seededReader struct{ *rand.Rand }

// Read implements io.Reader. It never fails.
func (r seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return len(b), nil
}

// Seeded returns random bytes that the seed decides.
func Seeded(seed uint64) io.Reader { return seededReader{rand.New(rand.NewPCG(seed, raftStream))} }

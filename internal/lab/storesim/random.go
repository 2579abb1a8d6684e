package storesim

import (
	"io"
	"math/rand/v2"
)

// Stream numbers that separate the random numbers of the simulation from those of raft, for the same seed.
const (
	simulationStream = 77
	raftStream       = 99
)

// seededReader is a stream of random bytes that a seed determines.
type seededReader struct{ *rand.Rand }

// Read implements io.Reader. It never fails.
func (r seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return len(b), nil
}

// SeededBytes returns an endless stream of random bytes that the seed determines.
func SeededBytes(seed uint64) io.Reader { return seededReader{rand.New(rand.NewPCG(seed, raftStream))} }

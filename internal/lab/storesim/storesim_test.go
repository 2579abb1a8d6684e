package storesim

import (
	"crypto/rand"
	"testing"
)

// play runs seeds one after another: raft draws from crypto/rand, which is the process's.
func play(o Options, seeds uint64) (violated int, hash uint64, steps int) {
	real := rand.Reader
	defer func() { rand.Reader = real }()
	for seed := uint64(1); seed <= seeds; seed++ {
		rand.Reader = Seeded(seed)
		o.Seed = seed
		r := Run(o)
		if len(r.Violations) > 0 {
			violated++
		}
		hash, steps = hash*31+r.Hash, steps+r.Steps
	}
	return violated, hash, steps
}

func TestNoSeedViolates(t *testing.T) {
	seeds, o := uint64(200), Options{}
	if raceEnabled { // the detector is slow; shorter lives, as many of them
		o.Seconds = 5
	}
	if n, _, steps := play(o, seeds); n > 0 || steps < int(seeds)*1000 {
		t.Errorf("%d of %d seeds violate, in %d steps; cloverrock-lab store-sim names them", n, seeds, steps)
	}
	if n, _, _ := play(Options{Instances: 5, Seconds: o.Seconds}, seeds/10); n > 0 {
		t.Errorf("%d seeds of five instances violate", n)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	_, a, _ := play(Options{}, 5)
	_, b, _ := play(Options{}, 5)
	if a != b {
		t.Errorf("%x and then %x", a, b)
	}
}

// The checks can fail: each is shown a store that breaks what it guards.
func TestChecksCanFail(t *testing.T) {
	if n, _, _ := play(Options{LoseSyncs: true}, 6); n == 0 {
		t.Error("syncs that do nothing were not found out")
	}
	if n, _, _ := play(Options{Twice: true}, 8); n == 0 {
		t.Error("retries under new numbers were not found out")
	}
}

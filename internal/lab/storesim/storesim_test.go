package storesim

import (
	"crypto/rand"
	"testing"
)

// play runs seeds one after another: raft draws from crypto/rand, which is the process's.
func play(options Options, seeds uint64) (violated int, hash uint64, steps int) {
	systemRandom := rand.Reader
	defer func() { rand.Reader = systemRandom }()
	for seed := uint64(1); seed <= seeds; seed++ {
		rand.Reader = Seeded(seed)
		options.Seed = seed
		result := Run(options)
		if len(result.Violations) > 0 {
			violated++
		}
		hash = hash*31 + result.Hash
		steps += result.Steps
	}
	return violated, hash, steps
}

func TestNoSeedViolatesAnInvariant(t *testing.T) {
	const seeds = 200
	var options Options
	if raceEnabled { // the race detector is slow: the same number of shorter runs
		options.Seconds = 5
	}
	if n, _, steps := play(options, seeds); n > 0 || steps < seeds*1000 {
		t.Errorf("%d of %d seeds violate, in %d steps; cloverrock-lab store-sim names them", n, seeds, steps)
	}
	if n, _, _ := play(Options{Instances: 5, Seconds: options.Seconds}, seeds/10); n > 0 {
		t.Errorf("%d seeds of five instances violate", n)
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	_, first, _ := play(Options{}, 5)
	_, again, _ := play(Options{}, 5)
	if first != again {
		t.Errorf("%x and then %x", first, again)
	}
}

// The checks find a store that violates the invariants they check.
func TestChecksFindABrokenStore(t *testing.T) {
	if n, _, _ := play(Options{LoseSyncs: true}, 6); n == 0 {
		t.Error("syncs that do nothing were not found")
	}
	if n, _, _ := play(Options{ResendAsNew: true}, 8); n == 0 {
		t.Error("retries with new sequence numbers were not found")
	}
}

package storesim

import (
	"crypto/rand"
	"testing"
)

// runSeeds runs seeds one after another, because raft draws from rand.Reader, which the whole process shares.
func runSeeds(options Options, seeds uint64) (violated int, hash uint64, steps int) {
	systemRandom := rand.Reader
	defer func() { rand.Reader = systemRandom }()
	for seed := uint64(1); seed <= seeds; seed++ {
		rand.Reader = SeededBytes(seed)
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
	if n, _, steps := runSeeds(options, seeds); n > 0 || steps < seeds*1000 {
		t.Errorf("%d of %d seeds violate an invariant, in %d steps; cloverrock-lab store-sim lists them", n, seeds, steps)
	}
	if n, _, _ := runSeeds(Options{Instances: 5, Seconds: options.Seconds}, seeds/10); n > 0 {
		t.Errorf("%d seeds violate an invariant in a cluster of five instances", n)
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	_, first, _ := runSeeds(Options{}, 5)
	_, again, _ := runSeeds(Options{}, 5)
	if first != again {
		t.Errorf("the first run has the hash %x, the second %x", first, again)
	}
}

// Guards against checks that pass everything: they must report deliberate defects of the store and of its clients.
func TestChecksFindABrokenStore(t *testing.T) {
	if n, _, _ := runSeeds(Options{LoseSyncs: true}, 6); n == 0 {
		t.Error("the checks did not report that syncs have no effect")
	}
	if n, _, _ := runSeeds(Options{ResendAsNew: true}, 8); n == 0 {
		t.Error("the checks did not report retries that are sent as new commands")
	}
}

package random

import "testing"

// Decisions and their golden files depend on the sequence of numbers for each seed. The expected numbers are the
// published first outputs of splitmix64 for seed 1234567.
func TestSequenceForASeedIsFixed(t *testing.T) {
	source := Source(1234567)
	for i, want := range []uint64{6457827717110365317, 3203168211198807973, 9817491932198370423, 4593380528125082431} {
		const modulus = 1_000_003
		if got := source.Below(modulus); got != int64(want%modulus) {
			t.Errorf("number %d is %d, want %d", i, got, want%modulus)
		}
	}
}

func TestBelowReturnsZeroWithoutARange(t *testing.T) {
	source := Source(1)
	for _, n := range []int64{1, 0, -5} {
		if got := source.Below(n); got != 0 {
			t.Errorf("Below(%d) returned %d, want 0", n, got)
		}
	}
	if source != Source(1)+3*0x9e3779b97f4a7c15&(1<<64-1) {
		t.Error("a call of Below without a range did not advance the source")
	}
}

// A fraction must be one number below 2^30, divided by 2^30.
func TestFractionIsOneDrawBelowOne(t *testing.T) {
	fractions, draws := Source(7), Source(7)
	for range 1000 {
		fraction := fractions.Fraction()
		if want := float64(draws.Below(1<<30)) / (1 << 30); fraction != want || fraction < 0 || fraction >= 1 {
			t.Fatalf("fraction %v, want %v", fraction, want)
		}
	}
	if fractions != draws {
		t.Error("Fraction did not advance the source exactly once per call")
	}
}

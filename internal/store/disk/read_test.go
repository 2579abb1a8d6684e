package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A log that is truncated at any byte of its last batch opens without that batch and with all batches before it.
func TestIncompleteLastBatchIsTruncatedAtAnyByte(t *testing.T) {
	dir, l := writtenLog(t, Options{}, 5)
	complete := mustRead(t, dir, segmentName(1))
	before := l.size
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(11, 1), entry(12, 1)}); err != nil {
		t.Fatal(err)
	}
	must(t, l.Close())
	all := mustRead(t, dir, segmentName(1))
	must(t, dir.Remove(syncPositionName)) // as after a loss of power, when the file is outdated or missing
	for cut := len(complete); cut < len(all); cut++ {
		if err := os.WriteFile(dir.Name(segmentName(1)), all[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		log, got, err := OpenLog(dir, Options{})
		if err != nil || len(got.Entries) != 10 || log.size != before {
			t.Fatalf("cut at %d: %v, %d entries, want 10", cut, err, len(got.Entries))
		}
		if err := log.Save(nil, nil, []*raftpb.Entry{entry(11, 2)}); err != nil {
			t.Fatal(err)
		}
		must(t, log.Close())
		must(t, dir.Remove(syncPositionName))
		if _, got, err = OpenLog(dir, Options{}); err != nil || len(got.Entries) != 11 {
			t.Fatalf("cut at %d, then reopened after another batch: %v, want 11 entries", cut, err)
		}
		must(t, dir.Remove(syncPositionName))
	}
}

// A flipped bit in synced data is detected, and the error names the file. A flipped bit in padding changes nothing.
func TestFlippedBitsAndMissingSegmentsAreReported(t *testing.T) {
	dir, l := writtenLog(t, Options{SegmentSize: 1500}, 30)
	must(t, l.Close())
	rng := rand.New(rand.NewPCG(1, 1))
	seqs, err := listSegments(dir)
	must(t, err)
	found := 0
	for range 300 {
		name := segmentName(seqs[rng.IntN(len(seqs))])
		b := mustRead(t, dir, name)
		at, bit := rng.IntN(len(b)), byte(1)<<rng.IntN(8)
		b[at] ^= bit
		must(t, os.WriteFile(dir.Name(name), b, 0o600))
		_, got, err := readLog(dir, Options{})
		var corrupt *CorruptError
		switch {
		case errors.As(err, &corrupt):
			found++
			if corrupt.File != dir.Name(name) || corrupt.Offset > int64(at) || !strings.Contains(err.Error(), "offset") {
				t.Errorf("a flipped bit at %d of %s was reported at another position: %v", at, name, err)
			}
		case err != nil:
			t.Errorf("a flipped bit at %d of %s: %v, want a CorruptError", at, name, err)
		case len(got.Entries) != 60 || got.HardState.GetCommit() != 58:
			t.Errorf("a flipped bit at %d of %s was not detected, but changed the log: %d entries", at, name, len(got.Entries))
		}
		b[at] ^= bit
		must(t, os.WriteFile(dir.Name(name), b, 0o600))
	}
	if found < 200 {
		t.Errorf("%d of 300 flipped bits were detected, want at least 200", found)
	}
	must(t, dir.Remove(segmentName(seqs[1])))
	if _, _, err := OpenLog(dir, Options{}); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("opening a log without its second segment: %v, want an error about a missing segment", err)
	}
	for _, seq := range append(seqs[:1:1], seqs[2:]...) {
		must(t, dir.Remove(segmentName(seq)))
	}
	if _, _, err := OpenLog(dir, Options{}); err == nil {
		t.Error("a missing log was read as an empty one")
	}
}

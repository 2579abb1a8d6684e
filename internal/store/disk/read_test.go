package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// A log cut at any byte of its last batch comes back without that batch; nothing before it is lost.
func TestTornEndIsCutAtAnyByte(t *testing.T) {
	dir, l := writtenLog(t, Options{}, 5)
	complete := mustRead(t, dir, segmentName(1))
	before := l.size
	if err := l.Save(nil, nil, []*raftpb.Entry{entry(11, 1), entry(12, 1)}); err != nil {
		t.Fatal(err)
	}
	must(t, l.Close())
	all := mustRead(t, dir, segmentName(1))
	must(t, dir.Remove(syncNoteName)) // the machine lost power: the note of the last sync is an old one, or none
	for cut := len(complete); cut < len(all); cut++ {
		if err := os.WriteFile(dir.Name(segmentName(1)), all[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		log, got, err := OpenLog(dir, Options{})
		if err != nil || len(got.Entries) != 10 || log.size != before {
			t.Fatalf("cut at %d: %v, %d entries", cut, err, len(got.Entries))
		}
		if err := log.Save(nil, nil, []*raftpb.Entry{entry(11, 2)}); err != nil {
			t.Fatal(err)
		}
		must(t, log.Close())
		must(t, dir.Remove(syncNoteName))
		if _, got, err = OpenLog(dir, Options{}); err != nil || len(got.Entries) != 11 {
			t.Fatalf("cut at %d, written on: %v", cut, err)
		}
		must(t, dir.Remove(syncNoteName))
	}
}

// A bit that flips anywhere in what was synced is found, and the message names the file; padding alone is harmless.
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
		var bad *CorruptError
		switch {
		case errors.As(err, &bad):
			found++
			if bad.File != dir.Name(name) || bad.Offset > int64(at) || !strings.Contains(err.Error(), "offset") {
				t.Errorf("a bit at %d of %s: %v", at, name, err)
			}
		case err != nil:
			t.Errorf("a bit at %d of %s: %v", at, name, err)
		case len(got.Entries) != 60 || got.HardState.GetCommit() != 58:
			t.Errorf("a bit at %d of %s went unseen: %d entries", at, name, len(got.Entries))
		}
		b[at] ^= bit
		must(t, os.WriteFile(dir.Name(name), b, 0o600))
	}
	if found < 200 {
		t.Errorf("%d of 300 flips found", found)
	}
	must(t, dir.Remove(segmentName(seqs[1])))
	if _, _, err := OpenLog(dir, Options{}); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("a segment is missing: %v", err)
	}
	for _, seq := range append(seqs[:1:1], seqs[2:]...) {
		must(t, dir.Remove(segmentName(seq)))
	}
	if _, _, err := OpenLog(dir, Options{}); err == nil {
		t.Error("a lost log was taken for an empty one")
	}
}

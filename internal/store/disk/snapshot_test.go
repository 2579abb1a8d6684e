package disk

import (
	"errors"
	"io"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func TestSnapshotIsSavedCompletelyOrNotAtAll(t *testing.T) {
	dir := openTemp(t)
	meta := &raftpb.SnapshotMetadata{Index: proto.Uint64(9), Term: proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}
	image := []byte(strings.Repeat("state", 500000))
	write := func(w io.Writer) error {
		return EncodeSnapshot(w, meta, func(w io.Writer) error { _, err := w.Write(image); return err })
	}
	if err := SaveSnapshot(dir, 9, write); err != nil {
		t.Fatal(err)
	}
	writeErr := errors.New("injected write error")
	if err := SaveSnapshot(dir, 10, func(w io.Writer) error { _ = write(w); return writeErr }); !errors.Is(err, writeErr) {
		t.Fatal(err)
	}
	b, name, err := LoadSnapshot(dir)
	if err != nil {
		t.Fatal(err)
	}
	got, reader, err := DecodeSnapshot(name, b)
	if err != nil || got.GetIndex() != 9 {
		t.Fatalf("decoding the snapshot: %v, %v, want index 9", got, err)
	}
	if read, err := io.ReadAll(reader); err != nil || string(read) != string(image) {
		t.Error("the image that was read differs from the one that was saved")
	}
	for _, at := range []int{5, len(b) / 2, len(b) - 3} {
		damaged := append([]byte(nil), b...)
		damaged[at] ^= 4
		var corrupt *CorruptError
		if _, _, err := DecodeSnapshot(name, damaged); !errors.As(err, &corrupt) {
			t.Errorf("a flipped bit at %d: %v, want a CorruptError", at, err)
		}
		if _, _, err := DecodeSnapshot(name, b[:at]); !errors.As(err, &corrupt) {
			t.Errorf("truncated at %d: %v, want a CorruptError", at, err)
		}
	}
}

package frame

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/golden"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

// goldenCase is a value that is sent over a connection, and an empty value of its type to decode it into.
type goldenCase struct {
	name        string
	kind        Kind
	value, into any
}

func goldenCases() []goldenCase {
	kv := machine.KV{NS: "config", Key: "one", Value: []byte{0, 255}, Created: 1, Modified: 2, Version: 3, Lease: 4}
	command := machine.Command{Format: 1, Kind: machine.TransactionKind, RequestID: 5, Session: 6, Seq: 7,
		If:   []machine.Compare{{NS: "config", Key: "one", Target: machine.Value, Number: 8, Value: []byte("v")}},
		Then: []machine.Op{{Kind: machine.Put, NS: "config", Key: "one", Value: []byte("w"), Lease: 9, Limit: 10}},
		Else: []machine.Op{{Kind: machine.Delete, NS: "config", Key: "one"}}, Lease: 11, Amount: 12}
	return []goldenCase{
		{"hello", HelloKind, &Hello{Format: 1, Peer: true, Cluster: 77, ID: 11, Address: "127.0.0.1:7001"}, &Hello{}},
		{"hello-client", HelloKind, &Hello{Format: 1}, &Hello{}},
		{"welcome", WelcomeKind, &Welcome{Format: 1, Cluster: 77, Name: "a"}, &Welcome{}},
		{"welcome-refused", WelcomeKind, &Welcome{Format: 1, Error: "removed", Final: true, Cluster: 77, Name: "a"}, &Welcome{}},
		{"request", RequestKind, &Request{ID: 1, Op: OpPropose, Command: &command, NS: "config", Key: "one", Limit: -1, Stale: true, After: 2, NodeID: 3,
			Name: "gateway", Address: "127.0.0.1:7002", Token: "note", Body: []byte("{}")}, &Request{}},
		{"request-least", RequestKind, &Request{ID: 2, Op: OpStatus}, &Request{}},
		{"response", ResponseKind, &Response{ID: 1, Code: CodeFailed, Error: "why", Result: machine.Result{Code: machine.NoLease, Holds: true, Revision: 9, ID: 8, KVs: []machine.KV{kv}},
			Events: []machine.Event{{Revision: 9, Deleted: true, KV: &kv}}, StalenessMS: -1, More: true, Body: []byte("body")}, &Response{}},
		{"response-least", ResponseKind, &Response{ID: 2}, &Response{}},
		{"piece", ChunkKind, &core.SnapshotChunk{Index: 1, Term: 2, Total: 300, Offset: 4, Data: []byte("data")}, &core.SnapshotChunk{}},
		{"got", ChunkAckKind, &core.ChunkAck{Index: 1, Offset: 300}, &core.ChunkAck{}},
	}
}

// frameOf returns the kind and body of a golden frame.
func frameOf(t *testing.T, text string) (Kind, []byte) {
	t.Helper()
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	kind, body, err := Read(bytes.NewReader(b), nil, MaxSize)
	if err != nil {
		t.Fatal(err)
	}
	return kind, body
}

// The bytes of frames and the words for operations and codes must not change, and golden frames must be decoded.
func TestFramesKeepTheirBytes(t *testing.T) {
	var lines []string
	for _, c := range goldenCases() {
		b, err := AppendValue(nil, c.kind, c.value)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s %x", c.name, b))
	}
	message := &raftpb.Message{Type: raftpb.MsgApp.Enum(), To: proto.Uint64(12), From: proto.Uint64(11), Term: proto.Uint64(2), LogTerm: proto.Uint64(1), Index: proto.Uint64(3),
		Commit: proto.Uint64(4), Entries: []*raftpb.Entry{{Index: proto.Uint64(4), Term: proto.Uint64(2), Data: []byte("four")}}}
	for _, e := range []core.Envelope{{Raft: message}, {Chunk: &core.SnapshotChunk{Index: 1}}, {Ack: &core.ChunkAck{Index: 2}}} {
		b, err := AppendEnvelope(nil, e)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("envelope/%c %x", b[4], b))
	}
	lines = append(lines, fmt.Sprintf("operations %q", []string{OpPropose, OpRead, OpWatch, OpStatus, OpJoin, OpRemove, OpTransfer, OpBackup, OpDocument}),
		fmt.Sprintf("codes %q", []string{CodeOK, CodeRetry, CodeOutcomeUnknown, CodeRefused, CodeFailed}))
	stored := golden.CheckLines(t, "frames.txt", lines)

	for _, c := range goldenCases() {
		kind, body := frameOf(t, stored[c.name])
		if err := DecodeValue(body, c.into); err != nil || kind != c.kind || !reflect.DeepEqual(c.into, c.value) {
			t.Errorf("%s is read as %c %+v, %v", c.name, kind, c.into, err)
		}
	}
	kind, body := frameOf(t, stored["envelope/r"])
	e, ok, err := DecodeEnvelope(kind, body, 11, 12)
	if err != nil || !ok || e.From != 11 || e.To != 12 || !proto.Equal(e.Raft, message) {
		t.Errorf("raft's message is read as %+v, %v", e, err)
	}
}

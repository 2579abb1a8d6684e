package machine

import (
	"bytes"
	"encoding/hex"

	"fmt"
	"reflect"
	"testing"

	"cloverrock/internal/golden"
)

// goldenCommands returns commands of each kind, with each operation, comparison and field. They are also applied in this
// order: the first opens session 1, the next two grant leases 2 and 3.
func goldenCommands() []Command {
	return []Command{
		{Kind: OpenSessionKind, RequestID: 71},
		{Kind: GrantLeaseKind, Amount: 5000},
		{Kind: GrantLeaseKind, Amount: 9000, Format: 1},
		{Kind: TransactionKind, RequestID: 72, Session: 1, Seq: 4, Then: []Op{{Kind: Put, NS: "config", Key: "one", Value: []byte("1")}, {Kind: Put, NS: "status", Key: "leased", Value: []byte{0, 255}, Lease: 2}}},
		{Kind: TransactionKind, Session: 1, Seq: 5, If: []Compare{{NS: "config", Key: "one", Target: Version, Number: 1}, {NS: "config", Key: "one", Target: Modified, Number: 1},
			{NS: "config", Key: "one", Target: Value, Value: []byte("1")}},
			Then: []Op{{Kind: Put, NS: "config", Key: "one", Value: []byte("2")}, {Kind: Get, NS: "config", Key: "one"}, {Kind: List, NS: "status", Key: "le", Limit: 3}},
			Else: []Op{{Kind: Delete, NS: "config", Key: "one"}}},
		{Kind: TransactionKind, Then: []Op{{Kind: Put, NS: "config", Key: "gone", Lease: 3}}},
		{Kind: TransactionKind, Then: []Op{{Kind: Delete, NS: "config", Key: "gone"}}},
		{Kind: AdvanceClockKind, Amount: 1500},
		{Kind: KeepAliveKind, Lease: 2},
		{Kind: RevokeLeaseKind, Lease: 3},
		{Kind: CompactKind, Amount: 1},
		{Kind: RaiseFormatKind, Amount: 1},
	}
}

// The encoding of commands in the log and the numbers of result codes do not change, and stored commands decode to the
// same commands.
func TestCommandsKeepTheirBytes(t *testing.T) {
	var lines []string
	commands := goldenCommands()
	for i := range commands {
		b, err := Encode(&commands[i])
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("command/%d %x", i+1, b))
	}
	for code, name := range []Code{OK, NoSession, OldSeq, NoLease, Malformed, RevisionCompacted, BadAmount, LeaseNotAllowed} {
		lines = append(lines, fmt.Sprintf("code/%d %d %s", code, uint8(name), name))
	}
	stored := golden.CheckLines(t, "commands.txt", lines)
	for i := range commands {
		b, err := hex.DecodeString(stored[fmt.Sprint("command/", i+1)])
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(b, Format); err != nil || !reflect.DeepEqual(got, &commands[i]) {
			t.Errorf("command %d is decoded as %+v, error %v", i+1, got, err)
		}
	}
}

// The encoding of the state in a snapshot and the chain that instances compare do not change, and a stored image
// restores to the same state.
func TestImageKeepsItsBytes(t *testing.T) {
	m := New()
	var lines []string
	for i, command := range goldenCommands() {
		b, err := Encode(&command)
		if err != nil {
			t.Fatal(err)
		}
		res, _, err := m.Apply(uint64(i+1), b)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("applied/%d %s holds %t revision %d id %d found %d chain %016x", i+1, res.Code, res.Holds, res.Revision, res.ID, len(res.KVs), m.Chain()))
	}
	var image bytes.Buffer
	if err := m.Image().Write(&image); err != nil {
		t.Fatal(err)
	}
	stored := golden.CheckLines(t, "image.txt", append(lines, fmt.Sprintf("image %x", image.Bytes())))
	b, err := hex.DecodeString(stored["image"])
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	image.Reset()
	if err := restored.Image().Write(&image); err != nil || !bytes.Equal(image.Bytes(), b) {
		t.Errorf("the restored image is written as other bytes: %x, error %v", image.Bytes(), err)
	}
	checkGoldenState(t, restored)
}

// checkGoldenState checks the state of a machine that was restored after the golden commands.
func checkGoldenState(t *testing.T, m *Machine) {
	t.Helper()
	one, found := m.Get("config", "one")
	want := KV{NS: "config", Key: "one", Value: []byte("2"), Created: 1, Modified: 2, Version: 2}
	if !found || !reflect.DeepEqual(one, want) {
		t.Errorf("restored key: %+v, found %t", one, found)
	}
	if leased, _ := m.Get("status", "leased"); leased.Lease != 2 {
		t.Errorf("restored key with a lease: %+v", leased)
	}
	events, upTo, ok := m.EventsSince("config", "", 1, 100)
	if !ok || upTo != m.Revision() || len(events) != 3 || !events[2].Deleted {
		t.Errorf("restored events: %+v up to %d, %t", events, upTo, ok)
	}
	if m.Clock() != 1500 || m.CompactedTo() != 1 || m.LeaseCount() != 1 || m.KeyCount() != 2 || m.Index() != 12 {
		t.Errorf("restored: clock %d, compacted to %d, %d leases, %d keys, index %d",
			m.Clock(), m.CompactedTo(), m.LeaseCount(), m.KeyCount(), m.Index())
	}
}

package machine

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// update writes the golden files anew, for a change of a form that is meant.
var update = flag.Bool("update", false, "write the golden files anew")

// held compares lines, one named case each, with a golden file, and returns the file's cases by name.
func held(t *testing.T, file string, lines []string) map[string]string {
	t.Helper()
	path, now := filepath.Join("testdata", file), strings.Join(lines, "\n")+"\n"
	if *update {
		if err := errors.Join(os.MkdirAll("testdata", 0o755), os.WriteFile(path, []byte(now), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(golden) != len(lines) {
		t.Errorf("%s has %d cases, now there are %d", path, len(golden), len(lines))
	}
	cases := map[string]string{}
	for i, line := range golden {
		name, value, _ := strings.Cut(line, " ")
		cases[name] = value
		if i < len(lines) && lines[i] != line {
			t.Errorf("%s, line %d:\nheld %s\nnow  %s", path, i+1, line, lines[i])
		}
	}
	return cases
}

// goldenCommands are commands of each kind, with each operation, comparison and field; in this order they also fill a
// machine. The session is that of index 1, the leases those of 2 and 3.
func goldenCommands() []Command {
	return []Command{
		{Kind: OpenKind, Request: 71},
		{Kind: GrantKind, Amount: 5000},
		{Kind: GrantKind, Amount: 9000, V: 1},
		{Kind: TxnKind, Request: 72, Session: 1, Seq: 4, Then: []Op{{Kind: Put, NS: "config", Key: "one", Value: []byte("1")}, {Kind: Put, NS: "status", Key: "leased", Value: []byte{0, 255}, Lease: 2}}},
		{Kind: TxnKind, Session: 1, Seq: 5, If: []Compare{{NS: "config", Key: "one", Target: Version, Number: 1}, {NS: "config", Key: "one", Target: Modified, Number: 1},
			{NS: "config", Key: "one", Target: Value, Value: []byte("1")}},
			Then: []Op{{Kind: Put, NS: "config", Key: "one", Value: []byte("2")}, {Kind: Get, NS: "config", Key: "one"}, {Kind: List, NS: "status", Key: "le", Limit: 3}},
			Else: []Op{{Kind: Delete, NS: "config", Key: "one"}}},
		{Kind: TxnKind, Then: []Op{{Kind: Put, NS: "config", Key: "gone", Lease: 3}}},
		{Kind: TxnKind, Then: []Op{{Kind: Delete, NS: "config", Key: "gone"}}},
		{Kind: ClockKind, Amount: 1500},
		{Kind: KeepKind, Lease: 2},
		{Kind: RevokeKind, Lease: 3},
		{Kind: CompactKind, Amount: 1},
		{Kind: RaiseKind, Amount: 1},
	}
}

// TestCommandsKeepTheirBytes holds the form of commands in the log, both ways, and the numbers of results' codes.
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
	for code, name := range []Code{OK, NoSession, OldSeq, NoLease, Malformed, IsCompacted, BadAmount, BadLeaseName} {
		lines = append(lines, fmt.Sprintf("code/%d %d %s", code, uint8(name), name))
	}
	golden := held(t, "commands.txt", lines)
	for i := range commands {
		b, err := hex.DecodeString(golden[fmt.Sprint("command/", i+1)])
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(b, Format); err != nil || !reflect.DeepEqual(got, &commands[i]) {
			t.Errorf("command %d is read as %+v, %v", i+1, got, err)
		}
	}
}

// TestImageKeepsItsBytes holds the form of the state in a snapshot, both ways, and the chain that instances compare.
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
	golden := held(t, "image.txt", append(lines, fmt.Sprintf("image %x", image.Bytes())))
	b, err := hex.DecodeString(golden["image"])
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	image.Reset()
	if err := restored.Image().Write(&image); err != nil || !bytes.Equal(image.Bytes(), b) {
		t.Errorf("restored and written again: %x, %v", image.Bytes(), err)
	}
	one, found := restored.Get("config", "one")
	leased, _ := restored.Get("status", "leased")
	events, upTo, ok := restored.Since("config", "", 1, 100)
	if !found || string(one.Value) != "2" || one.Created != 1 || one.Modified != 2 || one.Version != 2 || leased.Lease != 2 || !ok || upTo != restored.Revision() ||
		len(events) != 3 || !events[2].Deleted || restored.Clock() != 1500 || restored.Floor() != 1 || restored.Leases() != 1 || restored.Keys() != 2 || restored.Index() != 12 {
		t.Errorf("restored: %+v %+v, events %+v up to %d", one, leased, events, upTo)
	}
}

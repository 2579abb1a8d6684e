package documents

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"cloverrock/internal/golden"
	"cloverrock/internal/store/machine"
)

// The encoded commands that change documents, and with them the keys and values in the state, must not change. Applying
// the golden commands must give the same revisions. The JSON of revisions and of the instances' reports must not change.
func TestDocumentsKeepTheirBytes(t *testing.T) {
	m := machine.New()
	var lines []string
	show := func(name string, v any) {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, name+" "+string(b))
	}
	for i, change := range []Change{
		{Name: "gateway", Author: "operator", Note: "first", AtMS: 1700000000001, Body: []byte(`{ "discovery": "127.0.0.1:7" }`)},
		{Name: "gateway", Author: "other", AtMS: 1700000000002, Body: []byte(`{}`), Base: 1},
		{Name: "gateway", Author: "operator", Note: "back", AtMS: 1700000000003, Base: -1, RollBackTo: 1},
	} {
		command, revision, err := PlanChange(m, change)
		if err != nil {
			t.Fatal(err)
		}
		b, err := machine.Encode(command)
		if err != nil {
			t.Fatal(err)
		}
		if res, _, err := m.Apply(uint64(i+1), b); err != nil || !res.Holds {
			t.Fatalf("applying the command: %+v, %v", res, err)
		}
		lines = append(lines, fmt.Sprintf("change/%d %x", i+1, b))
		show(fmt.Sprint("revision/", i+1), revision)
	}
	show("running", Running{Instance: "a", Document: "gateway", Revision: 3, Applied: 2, State: "restart", Detail: "limits", ReportedAtMS: 1700000000004, Version: "v1"})
	lines = append(lines, fmt.Sprintf("names %s %s %s", NS, StatusNS, RunningKey("a", "gateway")))
	stored := golden.CheckLines(t, "documents.txt", lines)

	again := machine.New()
	for i := uint64(1); i <= 3; i++ {
		b, err := hex.DecodeString(stored[fmt.Sprint("change/", i)])
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := again.Apply(i, b); err != nil {
			t.Fatal(err)
		}
		revision, err := ReadRevision(again, "gateway", 0)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := json.Marshal(revision); err != nil || string(b) != stored[fmt.Sprint("revision/", i)] {
			t.Errorf("revision %d is read as %s, %v", i, b, err)
		}
	}
}

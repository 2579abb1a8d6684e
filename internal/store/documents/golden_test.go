package documents

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cloverrock/internal/store/machine"
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

// TestDocumentsKeepTheirBytes holds the commands that change documents, and so the keys and values in the state, both
// ways, and the JSON of revisions and of what instances say they run.
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
		{Name: "gateway", Author: "operator", Note: "back", AtMS: 1700000000003, Base: -1, Back: 1},
	} {
		command, revision, err := Plan(m, change)
		if err != nil {
			t.Fatal(err)
		}
		b, err := machine.Encode(command)
		if err != nil {
			t.Fatal(err)
		}
		if res, _, err := m.Apply(uint64(i+1), b); err != nil || !res.Holds {
			t.Fatalf("%+v, %v", res, err)
		}
		lines = append(lines, fmt.Sprintf("change/%d %x", i+1, b))
		show(fmt.Sprint("revision/", i+1), revision)
	}
	show("running", Running{Instance: "a", Document: "gateway", Revision: 3, Applied: 2, State: "restart", Detail: "limits", AtMS: 1700000000004, Version: "v1"})
	lines = append(lines, fmt.Sprintf("names %s %s %s", NS, StatusNS, RunningKey("a", "gateway")))
	golden := held(t, "documents.txt", lines)

	again := machine.New()
	for i := uint64(1); i <= 3; i++ {
		b, err := hex.DecodeString(golden[fmt.Sprint("change/", i)])
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := again.Apply(i, b); err != nil {
			t.Fatal(err)
		}
		revision, err := At(again, "gateway", 0)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := json.Marshal(revision); err != nil || string(b) != golden[fmt.Sprint("revision/", i)] {
			t.Errorf("revision %d is read as %s, %v", i, b, err)
		}
	}
}

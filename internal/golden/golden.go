// Package golden holds tests to forms that were written down: what goes over a wire or into a store has to stay the
// same, byte for byte, whatever the code that writes it is called. Tests alone use it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Case is a named form, of one line.
type Case struct{ Name, Form string }

// Check compares forms with those of testdata/<file>: the same cases in the same order, each with the same form. It
// returns the forms that were written down by their names, for the way back.
func Check(t *testing.T, file string, cases []Case) map[string]string {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var text strings.Builder
		for _, c := range cases {
			text.WriteString(c.Name + "\t" + c.Form + "\n")
		}
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) != len(cases) {
		t.Fatalf("%s has %d cases, the test %d", path, len(lines), len(cases))
	}
	stored := map[string]string{}
	for i, line := range lines {
		name, form, _ := strings.Cut(line, "\t")
		if name != cases[i].Name || form != cases[i].Form {
			t.Errorf("%s:%d: the form has changed\n got %s\t%s\nwant %s", path, i+1, cases[i].Name, cases[i].Form, line)
		}
		if _, twice := stored[name]; twice {
			t.Fatalf("%s names %s twice", path, name)
		}
		stored[name] = form
	}
	return stored
}

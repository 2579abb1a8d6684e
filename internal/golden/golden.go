// Package golden compares the output of code with golden files that an earlier version wrote: encodings on the wire and on
// disk, and hashes of decisions. Only tests import it.
//
// A test run with -update rewrites its golden files. Use that only if the encoding is meant to change.
package golden

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"hash"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// directory holds the golden files of the package under test.
const directory = "testdata"

var update = flag.Bool("update", false, "rewrite the golden files")

// Case is one named encoding. Neither field may contain a line break, and Name no tab.
type Case struct{ Name, Form string }

// Check compares cases with those stored in testdata/file and fails the test unless both have the same names in the same
// order, each with the same form. It returns the stored forms by name, so that a test can decode them.
func Check(t *testing.T, file string, cases []Case) map[string]string {
	t.Helper()
	lines := make([]string, 0, len(cases))
	for _, c := range cases {
		lines = append(lines, c.Name+"\t"+c.Form)
	}
	return formsByName(t, file, "\t", CheckText(t, file, lines))
}

// CheckLines is like Check, for lines that each consist of a name without spaces, a space, and the form.
func CheckLines(t *testing.T, file string, lines []string) map[string]string {
	t.Helper()
	return formsByName(t, file, " ", CheckText(t, file, lines))
}

// CheckText compares lines with those of testdata/file and returns the stored lines. A difference fails the test.
func CheckText(t *testing.T, file string, lines []string) (stored []string) {
	t.Helper()
	path := filepath.Join(directory, file)
	if *update {
		write(t, path, lines)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	stored = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(stored) != len(lines) {
		t.Errorf("%s has %d cases, the test has %d", path, len(stored), len(lines))
	}
	for i, line := range stored {
		if i < len(lines) && lines[i] != line {
			t.Errorf("%s:%d: the form has changed\n got %s\nwant %s", path, i+1, lines[i], line)
		}
	}
	return stored
}

// formsByName splits lines into names and forms. A name that occurs twice fails the test.
func formsByName(t *testing.T, file, separator string, lines []string) map[string]string {
	t.Helper()
	forms := map[string]string{}
	for _, line := range lines {
		name, form, _ := strings.Cut(line, separator)
		if _, twice := forms[name]; twice {
			t.Errorf("%s names %s twice", file, name)
		}
		forms[name] = form
	}
	return forms
}

func write(t *testing.T, path string, lines []string) {
	t.Helper()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Hash is a SHA-256 hash of values. The names of fields, types and constants are not part of it, so that they may be renamed.
type Hash struct{ sum hash.Hash }

// NewHash returns a hash without values.
func NewHash() *Hash { return &Hash{sha256.New()} }

// Numbers adds integers, 8 bytes each.
func (h *Hash) Numbers(values ...int64) {
	for _, value := range values {
		h.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
	}
}

// Float adds the bits of a floating-point number.
func (h *Hash) Float(value float64) { h.Numbers(int64(math.Float64bits(value))) }

// Text adds a string, preceded by its length.
func (h *Hash) Text(value string) {
	h.Numbers(int64(len(value)))
	h.sum.Write([]byte(value))
}

// Bool adds 1 for true and 0 for false.
func (h *Hash) Bool(value bool) {
	if value {
		h.Numbers(1)
	} else {
		h.Numbers(0)
	}
}

// String returns the hash in hexadecimal digits.
func (h *Hash) String() string { return hex.EncodeToString(h.sum.Sum(nil)) }

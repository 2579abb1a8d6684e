// Package golden compares what code produces with files that were written by an earlier version: encodings on the wire
// and on disk, and hashes of decisions. Only tests import it.
//
// A test run with -update writes its files anew; that is only right where a change of the form is intended.
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

const directory = "testdata"

var update = flag.Bool("update", false, "write the golden files anew")

// Case is one named encoding. It must not contain a line break.
type Case struct{ Name, Form string }

// Check compares cases with those of testdata/file: the same cases in the same order, each with the same form. It
// returns the stored forms by name, so that a test can decode them.
func Check(t *testing.T, file string, cases []Case) map[string]string {
	t.Helper()
	lines := make([]string, 0, len(cases))
	for _, c := range cases {
		lines = append(lines, c.Name+"\t"+c.Form)
	}
	return compare(t, file, "\t", lines)
}

// CheckLines is Check for lines of a name, a space and the form.
func CheckLines(t *testing.T, file string, lines []string) map[string]string {
	t.Helper()
	return compare(t, file, " ", lines)
}

func compare(t *testing.T, file, separator string, lines []string) map[string]string {
	t.Helper()
	path := filepath.Join(directory, file)
	if *update {
		write(t, path, lines)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(want) != len(lines) {
		t.Errorf("%s has %d cases, the test %d", path, len(want), len(lines))
	}
	stored := map[string]string{}
	for i, line := range want {
		name, form, _ := strings.Cut(line, separator)
		if i < len(lines) && lines[i] != line {
			t.Errorf("%s:%d: the form has changed\n got %s\nwant %s", path, i+1, lines[i], line)
		}
		if _, twice := stored[name]; twice {
			t.Errorf("%s names %s twice", path, name)
		}
		stored[name] = form
	}
	return stored
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

// Hash hashes the values of a module's answers. Names of fields, types and constants don't enter it.
type Hash struct{ sum hash.Hash }

// NewHash returns the hash of nothing.
func NewHash() *Hash { return &Hash{sha256.New()} }

// Numbers adds integers.
func (h *Hash) Numbers(values ...int64) {
	for _, value := range values {
		h.sum.Write(binary.BigEndian.AppendUint64(nil, uint64(value)))
	}
}

// Float adds a number by its bits.
func (h *Hash) Float(value float64) { h.Numbers(int64(math.Float64bits(value))) }

// Text adds a string with its length.
func (h *Hash) Text(value string) {
	h.Numbers(int64(len(value)))
	h.sum.Write([]byte(value))
}

// Bool adds a truth value.
func (h *Hash) Bool(value bool) {
	if value {
		h.Numbers(1)
	} else {
		h.Numbers(0)
	}
}

// String returns the hash in hexadecimal digits.
func (h *Hash) String() string { return hex.EncodeToString(h.sum.Sum(nil)) }

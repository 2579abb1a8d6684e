package pki

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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

// TestFilesKeepTheirLayout holds names, modes and kinds of the files, and what stands in certificates but for keys.
func TestFilesKeepTheirLayout(t *testing.T) {
	defer syscall.Umask(syscall.Umask(0o022)) // modes are held, so they may not depend on who runs the test
	dir := filepath.Join(t.TempDir(), "made")
	now := time.Date(2024, 1, 2, 3, 4, 5, 0, time.UTC)
	err := Found(dir, "blue", now, 48*time.Hour)
	for _, role := range []Role{Instance, Operator, Observer} {
		err = errors.Join(err, Issue(dir, "of-"+string(role), role, now, 24*time.Hour))
	}
	entries, listed := os.ReadDir(dir)
	if err = errors.Join(err, listed); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, entry := range entries {
		b, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		block, rest := pem.Decode(b)
		line := fmt.Sprintf("%s %v %s, %d bytes behind it", entry.Name(), info.Mode(), block.Type, len(rest))
		if block.Type == "CERTIFICATE" {
			c, err := x509.ParseCertificate(block.Bytes)
			if err != nil {
				t.Fatal(err)
			}
			line += fmt.Sprintf("; %s by %s; %s to %s; authority %t; usage %d %d; %s", c.Subject, c.Issuer, c.NotBefore.Format(time.RFC3339), c.NotAfter.Format(time.RFC3339),
				c.IsCA, c.KeyUsage, c.ExtKeyUsage, c.SignatureAlgorithm)
		}
		lines = append(lines, line)
	}
	held(t, "files.txt", lines)
}

package pki

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cloverrock/internal/golden"
)

// The names, modes and types of the files, and the content of certificates except for keys, must not change.
func TestFilesKeepTheirLayout(t *testing.T) {
	defer syscall.Umask(syscall.Umask(0o022)) // the golden file has the modes for this umask
	dir := filepath.Join(t.TempDir(), "made")
	now := time.Date(2024, 1, 2, 3, 4, 5, 0, time.UTC)
	err := CreateAuthority(dir, "blue", now, 48*time.Hour)
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
	golden.CheckLines(t, "files.txt", lines)
}

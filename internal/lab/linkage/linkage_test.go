package linkage

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Check must fail for programs that Go's internal linker linked, statically or dynamically, and for files that are not
// programs.
func TestCheckPassesOnlyExternalLinkage(t *testing.T) {
	dir := t.TempDir()
	source := filepath.Join(dir, "main.go")
	if err := os.WriteFile(source, []byte("package main\n\nimport _ \"net\"\n\nfunc main() {}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	cc := os.Getenv("CC")
	if cc == "" {
		cc = "gcc"
	}
	_, compilerErr := exec.LookPath(cc)
	for _, c := range []struct {
		name, cgo, flags string
		valid            bool
	}{
		{"external", "1", "-ldflags=-linkmode=external", true},
		{"internal", "1", "-ldflags=-linkmode=internal", false},
		{"static", "0", "-ldflags=", false},
	} {
		if c.cgo == "1" && compilerErr != nil {
			continue
		}
		out := filepath.Join(dir, c.name)
		cmd := exec.Command("go", "build", c.flags, "-o", out, source)
		cmd.Env = append(os.Environ(), "CGO_ENABLED="+c.cgo, "GOFLAGS=")
		if b, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", c.name, err, b)
		}
		if err := Check(out); (err == nil) != c.valid {
			t.Errorf("%s: Check returned the wrong result: %v", c.name, err)
		}
	}
	if Check(source) == nil || Check(filepath.Join(dir, "missing")) == nil {
		t.Error("Check accepts a file that is not a program, or a missing one")
	}
}

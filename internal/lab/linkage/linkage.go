// Package linkage reads how a built program is linked. Some platforms load a library into the gateway's process before
// it starts, and that reaches only a program that the C library's loader brings up.
package linkage

import (
	"debug/elf"
	"fmt"
	"slices"
	"strings"
)

// Check tells why a program is not linked dynamically against the C library; nil if it is.
func Check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s is linked statically: no loader is named in it", path)
	}
	needed, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: libraries: %w", path, err)
	}
	if !slices.ContainsFunc(needed, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		return fmt.Errorf("%s does not need the C library, only %v", path, needed)
	}
	// The runtime's own linker can write a dynamic program, too; its start does not run the C library's.
	if f.Section(".init_array") == nil {
		return fmt.Errorf("%s was not linked by the C linker: it has no table of start functions", path)
	}
	return nil
}

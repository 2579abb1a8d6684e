// Package linkage checks how a program is linked. Some platforms preload a library into the gateway's process, which works
// only for a program that the C library's dynamic loader starts.
package linkage

import (
	"debug/elf"
	"fmt"
	"slices"
	"strings"
)

// Check returns nil if the program at a path is linked dynamically against the C library by the C linker, else an error
// that says what is missing.
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
	// Go's internal linker can produce a dynamic program as well, but its start code does not run the C library's.
	if f.Section(".init_array") == nil {
		return fmt.Errorf("%s was not linked by the C linker: it has no table of start functions", path)
	}
	return nil
}

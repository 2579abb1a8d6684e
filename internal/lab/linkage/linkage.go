// Package linkage checks how a program is linked. Some platforms preload a library into the gateway's process. That works
// only for a program that is started by the C library's dynamic loader.
package linkage

import (
	"debug/elf"
	"fmt"
	"slices"
	"strings"
)

// Check returns nil if the program at a path is linked dynamically against the C library by the C linker. Otherwise the error
// says what is missing.
func Check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s is linked statically: it names no dynamic loader", path)
	}
	needed, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: reading the imported libraries: %w", path, err)
	}
	if !slices.ContainsFunc(needed, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		return fmt.Errorf("%s is not linked against the C library, only against %v", path, needed)
	}
	// Go's internal linker can also produce a dynamically linked program, but the start code of such a program does not run the
	// start code of the C library.
	if f.Section(".init_array") == nil {
		return fmt.Errorf("%s was not linked by the C linker: it has no .init_array section", path)
	}
	return nil
}

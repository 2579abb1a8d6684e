package golden_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"testing"
)

// fusedInstruction matches a line of assembly with an instruction of arm64 that rounds a product and a sum once, and the
// place of the source that it was compiled from.
var fusedInstruction = regexp.MustCompile(`(?m)^.*\(([^()]+\.go:\d+)\)\s+FN?M(?:ADD|SUB)[SD]\s.*$`)

// Gateways on different kinds of machine must decide the same. On some of them the compiler fuses a product with the sum
// that it enters, and the result differs in its last bit. A conversion to the same type prevents that. The golden files
// can show a difference only on such a machine; this test does on every one.
func TestPackagesThatDecideHaveNoFusedArithmetic(t *testing.T) {
	packages := []string{
		"cloverrock/balance", "cloverrock/internal/random", "cloverrock/internal/gossip",
		"cloverrock/internal/agreement", "cloverrock/internal/zonefailover",
	}
	command := exec.Command("go", append([]string{"build", "-gcflags=-S"}, packages...)...)
	command.Env = append(os.Environ(), "GOARCH=arm64", "CGO_ENABLED=0", "GOFLAGS=")
	assembly, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, assembly)
	}
	if !regexp.MustCompile(`\sFMULD\s`).Match(assembly) {
		t.Fatal("the assembly has no product at all")
	}
	var places []string
	for _, match := range fusedInstruction.FindAllSubmatch(assembly, -1) {
		places = append(places, string(match[1]))
	}
	slices.Sort(places)
	for _, place := range slices.Compact(places) {
		t.Errorf("%s: a product is fused with a sum", place)
	}
}

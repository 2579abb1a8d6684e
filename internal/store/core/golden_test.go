package core

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
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

// TestMembersKeepTheirBytes holds the founding snapshot with its member records, and what admits and dismisses a member.
func TestMembersKeepTheirBytes(t *testing.T) {
	var lines []string
	show := func(name string, b []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s %x", name, b))
	}
	a, b := Member{Name: "a", Address: "127.0.0.1:7001", Format: 1}, Member{Name: "b", Address: "127.0.0.1:7002", Format: 1}
	record, err := MemberOp(11, a)
	if err != nil {
		t.Fatal(err)
	}
	first, err := InitialSnapshot([]uint64{11}, []machine.Op{record})
	show("founding", first, err)
	_, image, err := disk.DecodeSnapshot("founding", first)
	if err != nil {
		t.Fatal(err)
	}
	m, err := machine.Restore(image)
	if err != nil {
		t.Fatal(err)
	}
	if got := Members(m); !reflect.DeepEqual(got, map[uint64]Member{11: a}) {
		t.Errorf("members are read as %+v", got)
	}
	change, command, err := PlanJoin(m, 12, b, "token")
	if err != nil {
		t.Fatal(err)
	}
	body, err := proto.Marshal(change)
	show("admit/change", body, err)
	body, err = machine.Encode(command)
	show("admit/command", body, err)
	change, command = PlanRemoval(m, 11)
	body, err = proto.Marshal(change)
	show("dismiss/change", body, err)
	body, err = machine.Encode(command)
	show("dismiss/command", body, err)
	held(t, "members.txt", append(lines, fmt.Sprintf("names %s %s", MemberKey(11), TokensNS)))
}

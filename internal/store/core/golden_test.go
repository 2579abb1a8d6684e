package core

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"cloverrock/internal/golden"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// The encoding of the initial snapshot with its member records does not change, nor does that of the changes that add
// and remove a member.
func TestMembersKeepTheirBytes(t *testing.T) {
	var lines []string
	show := func(name string, b []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s %x", name, b))
	}
	a := Member{Name: "a", Address: "127.0.0.1:7001", Format: 1}
	b := Member{Name: "b", Address: "127.0.0.1:7002", Format: 1}
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
		t.Errorf("the member records are decoded as %+v", got)
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
	golden.CheckLines(t, "members.txt", append(lines, fmt.Sprintf("names %s %s", MemberKey(11), TokensNS)))
}

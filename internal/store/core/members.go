package core

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/machine"
)

// Namespaces of the store's own records. Clients may read them, and may write only TokensNS.
const (
	MembersNS = "_members" // records of the members, by MemberKey
	RemovedNS = "_removed" // ids of removed members, which may not rejoin, by MemberKey
	TokensNS  = "_tokens"  // hashes of tokens by which an instance may join
)

// Member is the record of an instance.
type Member struct {
	Name    string `msgpack:"n" json:"name"`
	Address string `msgpack:"a" json:"address"`
	Format  uint8  `msgpack:"f" json:"format"` // newest format of commands that it supports
}

// MemberKey returns the key of an id's records.
func MemberKey(id uint64) string { return fmt.Sprintf("%016x", id) }

// parseMemberKey is the inverse of MemberKey.
func parseMemberKey(key string) (id uint64, ok bool) {
	_, err := fmt.Sscanf(key, "%016x", &id)
	return id, err == nil
}

// MemberOp returns the operation that writes a member's record.
func MemberOp(id uint64, member Member) (machine.Op, error) {
	value, err := msgpack.Marshal(&member)
	if err != nil {
		return machine.Op{}, fmt.Errorf("store: encode member: %w", err)
	}
	return machine.Op{Kind: machine.Put, NS: MembersNS, Key: MemberKey(id), Value: value}, nil
}

// Members returns the members that are recorded in the state, by id. Records that cannot be decoded are skipped.
func Members(state *machine.Machine) map[uint64]Member {
	found := map[uint64]Member{}
	for _, record := range state.List(MembersNS, "", 0) {
		var member Member
		id, ok := parseMemberKey(record.Key)
		if ok && msgpack.Unmarshal(record.Value, &member) == nil {
			found[id] = member
		}
	}
	return found
}

// RemovedIDs returns the ids of the removed members.
func RemovedIDs(state *machine.Machine) (ids []uint64) {
	for _, record := range state.List(RemovedNS, "", 0) {
		if id, ok := parseMemberKey(record.Key); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// PlanJoin returns the change by which an instance joins as a learner, and the command that records it. If there is a
// member with the same name, it is taken to have lost its data directory: the same change removes its old id, which may
// not rejoin. The token is the key of the join token that the command deletes; empty: none.
func PlanJoin(state *machine.Machine, id uint64, member Member, token string) (*raftpb.ConfChangeV2, *machine.Command, error) {
	record, err := MemberOp(id, member)
	if err != nil {
		return nil, nil, err
	}
	command := &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{record}}
	changes := []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, id)}
	members := Members(state)
	for _, old := range slices.Sorted(maps.Keys(members)) {
		if members[old].Name == member.Name && old != id {
			changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, old))
			command.Then = append(command.Then, removalOps(old, member.Name)...)
		}
	}
	if token != "" {
		command.Then = append(command.Then, machine.Op{Kind: machine.Delete, NS: TokensNS, Key: token})
	}
	return &raftpb.ConfChangeV2{Changes: changes}, command, nil
}

// PlanRemoval returns the change by which an instance is removed permanently, and the command that records it.
func PlanRemoval(state *machine.Machine, id uint64) (*raftpb.ConfChangeV2, *machine.Command) {
	change := &raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeRemoveNode, id)},
	}
	command := &machine.Command{Kind: machine.TransactionKind, Then: removalOps(id, Members(state)[id].Name)}
	return change, command
}

func removalOps(id uint64, name string) []machine.Op {
	return []machine.Op{
		{Kind: machine.Delete, NS: MembersNS, Key: MemberKey(id)},
		{Kind: machine.Put, NS: RemovedNS, Key: MemberKey(id), Value: []byte(name)},
	}
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
}

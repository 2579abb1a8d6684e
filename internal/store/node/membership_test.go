package node

import (
	"errors"
	"strings"
	"testing"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

// join requests that an instance is added under an id.
func (cl *cluster) join(i int, id uint64, token string) error {
	request := &frame.Request{Op: frame.OpJoin, NodeID: id, Address: cl.confs[i].Listen, Token: token}
	_, err := cl.client(cl.confs[i].Name, 0, 1, 2).Call(cl.ctx, request, client.NotIdempotent)
	return err
}

// awaitEnd waits until an instance has stopped by itself.
func (cl *cluster) awaitEnd(n *Node, otherwise string) {
	cl.t.Helper()
	select {
	case <-n.Ended():
	case <-cl.ctx.Done():
		cl.t.Fatal(otherwise)
	}
}

func TestNewMembersNeedATokenAndRemovedIDsCannotRejoin(t *testing.T) {
	cl := startCluster(t, 3)
	operator := cl.client("operator")
	cl.put(operator, "k", "v")
	i := cl.addInstance()
	if _, err := Open(cl.confs[i]); !errors.Is(err, disk.ErrEmpty) {
		t.Fatalf("an empty directory: %v", err)
	}
	if err := cl.join(i, cl.ids[i], "nonsense"); err == nil || !strings.Contains(err.Error(), "token") {
		t.Fatalf("an unknown token: %v", err)
	}
	_, err := operator.Transact(cl.ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{{Kind: machine.Put, NS: core.TokensNS, Key: TokenKey("secret")}}})
	cl.must(err)
	cl.must(cl.join(i, cl.ids[i], "secret"))
	cl.createDirectory(i, 0, nil)
	n := cl.openNode(i)
	cl.waitUntil("it is a voter", func() bool {
		s, err := n.Status(cl.ctx)
		return err == nil && len(s.Voters) == 4
	})
	if err := cl.join(i, 99, "secret"); err != nil { // a member's name: no token is needed, and the old id is removed
		t.Fatalf("the same name with a new id: %v", err)
	}
	cl.awaitEnd(n, "the replaced instance is still running")
	if !errors.Is(n.Err(), transport.ErrRemoved) {
		t.Errorf("it ended with: %v", n.Err())
	}
	again, err := Open(cl.confs[i]) // old data, old id
	cl.must(err)
	cl.awaitEnd(again, "a removed instance is accepted with its old data")
	cl.waitUntil("the new id is removed", func() bool { // the outcome may be unknown; then a retry is refused, because the member is gone
		_, err := operator.Call(cl.ctx, &frame.Request{Op: frame.OpRemove, NodeID: 99}, client.NotIdempotent)
		return err == nil || refused(err)
	})
	cl.waitUntil("three members are left", func() bool {
		s, err := cl.nodes[0].Status(cl.ctx)
		return err == nil && len(s.Members) == 3 && len(s.Learners) == 0
	})
	_, err = operator.Call(cl.ctx, &frame.Request{Op: frame.OpRemove, NodeID: 12345}, client.NotIdempotent)
	if !refused(err) {
		t.Errorf("removal of an unknown member: %v", err)
	}
}

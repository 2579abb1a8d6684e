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

// awaitEnd waits until an instance has stopped without being told to.
func (cl *cluster) awaitEnd(n *Node, failure string) {
	cl.t.Helper()
	select {
	case <-n.Ended():
	case <-cl.ctx.Done():
		cl.t.Fatal(failure)
	}
}

func TestNewMembersNeedATokenAndRemovedIDsCannotRejoin(t *testing.T) {
	cl := startCluster(t, 3)
	operator := cl.client("operator")
	cl.put(operator, "k", "v")
	i := cl.addInstance()
	if _, err := Open(cl.confs[i]); !errors.Is(err, disk.ErrEmpty) {
		t.Fatalf("opening an empty directory: %v, want ErrEmpty", err)
	}
	if err := cl.join(i, cl.ids[i], "nonsense"); err == nil || !strings.Contains(err.Error(), "token") {
		t.Fatalf("joining with an unknown token: %v, want an error about the token", err)
	}
	_, err := operator.Transact(cl.ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{{Kind: machine.Put, NS: core.TokensNS, Key: TokenKey("secret")}}})
	cl.must(err)
	cl.must(cl.join(i, cl.ids[i], "secret"))
	cl.createDirectory(i, 0, nil)
	n := cl.openNode(i)
	cl.waitUntil("the new instance is a voter", func() bool {
		s, err := n.Status(cl.ctx)
		return err == nil && len(s.Voters) == 4
	})
	if err := cl.join(i, 99, "secret"); err != nil { // a member's name needs no token; the member's old id is removed
		t.Fatalf("joining with the same name and a new id: %v", err)
	}
	cl.awaitEnd(n, "the replaced instance is still running")
	if !errors.Is(n.Err(), transport.ErrRemoved) {
		t.Errorf("the replaced instance ended with %v, want ErrRemoved", n.Err())
	}
	again, err := Open(cl.confs[i]) // old data, old id
	cl.must(err)
	cl.awaitEnd(again, "a removed instance that restarts with its old data is still running")
	cl.waitUntil("the new id is removed", func() bool { // a request whose outcome is unknown is repeated; it is refused if the member is already removed
		_, err := operator.Call(cl.ctx, &frame.Request{Op: frame.OpRemove, NodeID: 99}, client.NotIdempotent)
		return err == nil || refused(err)
	})
	cl.waitUntil("three members are left", func() bool {
		s, err := cl.nodes[0].Status(cl.ctx)
		return err == nil && len(s.Members) == 3 && len(s.Learners) == 0
	})
	_, err = operator.Call(cl.ctx, &frame.Request{Op: frame.OpRemove, NodeID: 12345}, client.NotIdempotent)
	if !refused(err) {
		t.Errorf("removing an unknown member: %v, want a refusal", err)
	}
}

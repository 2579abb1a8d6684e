package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

// TokenKey returns the key of a join token in core.TokensNS. The store holds only the token's hash.
func TokenKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// membershipPlan computes a change of the members from the current state. It runs on the owner's goroutine.
type membershipPlan func() (*raftpb.ConfChangeV2, *machine.Command, error)

// changeMembers proposes a change of the members and waits until it has been applied.
func (n *Node) changeMembers(ctx context.Context, plan membershipPlan) error {
	answers := make(chan core.Answer, 1)
	done := func(answer core.Answer) { answers <- answer }
	posted := n.post(func() {
		change, command, err := plan()
		if err == nil && n.stalledWork != nil {
			err = core.ErrNoLeader
		}
		if err != nil {
			done(core.Answer{Err: err})
			return
		}
		n.core.ProposeMembershipChange(n.registerCallback(done), change, command)
	})
	if !posted {
		return ErrStopped
	}
	answer, err := await(ctx, n, answers)
	if err != nil {
		return err
	}
	if answer.Err == nil && answer.Result.Code != machine.OK {
		return reject(answer.Result.Code.String())
	}
	return answer.Err
}

// join adds an instance as a learner. If a member has the name in the certificate, the certificate is sufficient; a new
// name also needs a join token, which can be used once.
func (cc *clientConn) join(ctx context.Context, request *frame.Request) error {
	if cc.role != pki.Instance || request.NodeID == 0 || request.Address == "" {
		return reject("joining needs the certificate of an instance, an id and an address")
	}
	var token string
	var refused error
	_, err := cc.node.Read(ctx, false, func(m *machine.Machine) {
		token, refused = checkJoin(m, request, cc.owner)
	})
	if err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	member := core.Member{Name: cc.owner, Address: request.Address, Format: machine.Format}
	return cc.node.changeMembers(ctx, func() (*raftpb.ConfChangeV2, *machine.Command, error) {
		return core.PlanJoin(cc.node.core.Machine(), request.NodeID, member, token)
	})
}

// checkJoin returns an error if an instance may not join. Otherwise it returns the key of the token that the join
// consumes, which is empty if no token is needed.
func checkJoin(m *machine.Machine, request *frame.Request, name string) (token string, err error) {
	knownName := false
	members := core.Members(m)
	for _, member := range members {
		knownName = knownName || member.Name == name
	}
	if !knownName {
		token = TokenKey(request.Token)
		if request.Token == "" {
			return "", rejectedError{fmt.Errorf("store: no member is named %s yet; to join, a new name needs a token", name)}
		}
		if _, found := m.Get(core.TokensNS, token); !found {
			return "", reject("the join token is unknown, used or expired")
		}
	}
	if _, removed := m.Get(core.RemovedNS, core.MemberKey(request.NodeID)); removed {
		return "", reject("this id was removed and cannot join again")
	}
	if _, taken := members[request.NodeID]; taken {
		return "", reject("this id belongs to a member already")
	}
	return token, nil
}

// removeMember removes an instance permanently. A leader that is to be removed transfers leadership and returns
// core.ErrNoLeader, so that the client retries at the next leader.
func (n *Node) removeMember(ctx context.Context, id uint64) error {
	return n.changeMembers(ctx, func() (*raftpb.ConfChangeV2, *machine.Command, error) {
		state := n.core.Machine()
		if _, known := core.Members(state)[id]; !known {
			return nil, nil, rejectedError{fmt.Errorf("store: there is no member with the id %016x", id)}
		}
		voters := n.core.Status().Voters
		if len(voters) == 1 && voters[0] == id {
			return nil, nil, reject("the last voter cannot be removed")
		}
		if id == n.store.Identity.Node && n.core.IsLeader() {
			n.core.TransferLeadership() // the client retries at the next leader
			return nil, nil, core.ErrNoLeader
		}
		change, command := core.PlanRemoval(state, id)
		return change, command, nil
	})
}

// transferLeadership starts a transfer of leadership and does not wait until it is complete.
func (n *Node) transferLeadership(ctx context.Context) error {
	results := make(chan error, 1)
	posted := n.post(func() {
		if _, transferring := n.core.TransferLeadership(); !transferring {
			results <- fmt.Errorf("%w: this instance is not the leader", core.ErrNoLeader)
			return
		}
		results <- nil
	})
	if !posted {
		return ErrStopped
	}
	result, err := await(ctx, n, results)
	if err != nil {
		return err
	}
	return result
}

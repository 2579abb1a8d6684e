package node

import (
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

// retryRecordTicks is the pause in ticks before an instance tries again to correct its own record.
const retryRecordTicks = 20

// clusterView is what goroutines other than the owner may know without asking it. It is never changed after it was
// published.
type clusterView struct {
	cluster uint64
	members map[uint64]core.Member
	removed map[uint64]bool
	leader  uint64 // 0: not known
}

// publish renews the view when the members or the leader have changed, and tells the transport of the members.
func (n *Node) publish() {
	version := n.core.MembersVersion()
	if old := n.view.Load(); old != nil && n.publishedVersion == version {
		n.publishLeader(old)
		return
	}
	n.publishedVersion = version
	state := n.core.Machine()
	view := &clusterView{
		cluster: n.store.Identity.Cluster,
		members: core.Members(state),
		removed: map[uint64]bool{},
		leader:  n.core.Leader(),
	}
	for _, id := range core.RemovedIDs(state) {
		view.removed[id] = true
	}
	n.view.Store(view)
	if len(view.members) == 0 {
		return // this instance was not sent a snapshot yet; it answers whoever introduces itself
	}
	var peers []transport.Member
	for id, member := range view.members {
		peers = append(peers, transport.Member{ID: id, Name: member.Name, Address: member.Address})
	}
	n.transport.SetMembers(peers)
	n.checkOwnRecord(view)
}

func (n *Node) publishLeader(old *clusterView) {
	leader := n.core.Leader()
	if leader == old.leader {
		return
	}
	view := *old
	view.leader = leader
	n.view.Store(&view)
	if leader == 0 {
		n.log.Warn().Msg("store: leader lost, only stale reads are answered")
		return
	}
	n.log.Info().Str("leader", view.members[leader].Name).Msg("store: leader changed")
}

// checkOwnRecord ends an instance that was removed, and has an outdated record corrected.
func (n *Node) checkOwnRecord(view *clusterView) {
	id := n.store.Identity.Node
	record, known := view.members[id]
	if known && n.outdated(record) {
		time.AfterFunc(0, func() { n.post(n.correctOwnRecord) }) // not at once: the owner must not wait for itself
		return
	}
	if view.removed[id] {
		n.fail(transport.ErrRemoved)
	}
}

// outdated reports whether this instance's record has another address or format than the instance.
func (n *Node) outdated(record core.Member) bool {
	return record.Address != n.conf.Advertise || record.Format != machine.Format
}

// correctOwnRecord writes this instance's address and format into its record, and tries again until that is done.
func (n *Node) correctOwnRecord() {
	id := n.store.Identity.Node
	record, known := core.Members(n.core.Machine())[id]
	if !known || !n.outdated(record) {
		return
	}
	write, err := core.MemberOp(id, core.Member{Name: n.conf.Name, Address: n.conf.Advertise, Format: machine.Format})
	if err != nil {
		return // only a record that cannot be encoded, and this one can
	}
	command := &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{write}}
	n.propose(command, func(answer core.Answer) {
		if answer.Err != nil {
			time.AfterFunc(retryRecordTicks*n.conf.Tick, func() { n.post(n.correctOwnRecord) })
		}
	})
}

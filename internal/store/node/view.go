package node

import (
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/transport"
)

// retryRecordTicks is the pause in ticks between an instance's attempts to correct its own member record.
const retryRecordTicks = 20

// clusterView is the part of the state that goroutines other than the owner read. It is immutable once published.
type clusterView struct {
	cluster uint64
	members map[uint64]core.Member
	removed map[uint64]bool
	leader  uint64 // 0: unknown
}

// publish replaces the view when the members or the leader have changed, and passes new members to the transport.
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
		return // no snapshot was received yet; the transport keeps the peers that have connected to this instance
	}
	var peers []transport.Member
	for id, member := range view.members {
		peers = append(peers, transport.Member{ID: id, Name: member.Name, Address: member.Address})
	}
	n.transport.SetMembers(peers)
	n.checkOwnRecord(view)
}

// publishLeader replaces the view and logs the change if the leader has changed.
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

// checkOwnRecord stops an instance that was removed, and schedules the correction of an outdated member record.
func (n *Node) checkOwnRecord(view *clusterView) {
	id := n.store.Identity.Node
	record, known := view.members[id]
	if known && n.outdated(record) {
		time.AfterFunc(0, func() { n.post(n.correctOwnRecord) }) // on another goroutine: the owner must not call post
		return
	}
	if view.removed[id] {
		n.fail(transport.ErrRemoved)
	}
}

// outdated reports whether the address or format in this instance's member record differs from the actual one.
func (n *Node) outdated(record core.Member) bool {
	return record.Address != n.conf.Advertise || record.Format != machine.Format
}

// correctOwnRecord proposes a record with this instance's address and format, and retries until it has been applied.
func (n *Node) correctOwnRecord() {
	id := n.store.Identity.Node
	record, known := core.Members(n.core.Machine())[id]
	if !known || !n.outdated(record) {
		return
	}
	write, err := core.MemberOp(id, core.Member{Name: n.conf.Name, Address: n.conf.Advertise, Format: machine.Format})
	if err != nil {
		return // cannot happen: a Member can always be encoded
	}
	command := &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{write}}
	n.propose(command, func(answer core.Answer) {
		if answer.Err != nil {
			time.AfterFunc(retryRecordTicks*n.conf.Tick, func() { n.post(n.correctOwnRecord) })
		}
	})
}

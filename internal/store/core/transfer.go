package core

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/disk"
)

const (
	windowChunks      = 16  // pieces that may be under way
	resendAfterAcks   = 3   // words without progress after which pieces are sent again at once
	resendAfterTicks  = 10  // ticks without word after which pieces are sent again
	abandonAfterTicks = 100 // ticks without word after which a transfer is given up
	// MaxSnapshotSize bounds what a sender may claim of a snapshot's size.
	MaxSnapshotSize = 2 << 30
)

// SnapshotChunk is a part of a snapshot on its way.
type SnapshotChunk struct {
	Index  uint64 `msgpack:"i"` // of the snapshot
	Term   uint64 `msgpack:"t"` // of the sender
	Total  int    `msgpack:"n"`
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// ChunkAck tells the sender how much has come.
type ChunkAck struct {
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// outgoingTransfer is a snapshot that is being sent.
type outgoingTransfer struct {
	to, term     uint64
	index        uint64
	data         []byte // encoded; nil until it was read
	sent, acked  int
	repeatedAcks int // words in a row that nothing more has come
	lastHeard    int64
}

// incomingTransfer is a snapshot that is coming in.
type incomingTransfer struct {
	index, term uint64
	data        []byte
	total       int
	lastHeard   int64
}

// beginTransfer takes raft's wish to send a snapshot. The bytes are the newest snapshot's, which may be newer than the one
// that raft had in mind.
func (c *Core) beginTransfer(m *raftpb.Message) {
	if c.outgoing[m.GetTo()] != nil {
		return
	}
	c.outgoing[m.GetTo()] = &outgoingTransfer{to: m.GetTo(), term: m.GetTerm(), lastHeard: c.now}
	// Raft takes no snapshot that does not name its receiver: for one that has just joined, a new one is due.
	c.snapshotForced = c.snapshotForced || !isMember(c.snapshotMembers, m.GetTo())
	c.needsSnapshotData = true
}

// NeedsSnapshotData tells that the newest snapshot is to be read and given to Held.
func (c *Core) NeedsSnapshotData() bool { return c.needsSnapshotData && !c.snapshotForced }

// ProvideSnapshotData takes the newest snapshot's bytes, or an error if there are none to be had. Transfers under way keep those
// that they began with.
func (c *Core) ProvideSnapshotData(b []byte, err error) {
	c.needsSnapshotData = false
	var meta *raftpb.SnapshotMetadata
	if err == nil {
		meta, _, err = disk.DecodeSnapshot("the newest snapshot", b)
	}
	for _, id := range c.receivers() {
		if t := c.outgoing[id]; t.data == nil && err == nil {
			t.data, t.index, t.lastHeard = b, meta.GetIndex(), c.now
		} else if t.data == nil {
			delete(c.outgoing, id)
			c.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

func (c *Core) receivers() []uint64 { return slices.Sorted(maps.Keys(c.outgoing)) }

// sendChunks sends pieces, within the rate that all transfers share.
func (c *Core) sendChunks() {
	for id, a := range c.incoming {
		if c.now-a.lastHeard > abandonAfterTicks {
			delete(c.incoming, id)
		}
	}
	budget := c.conf.SnapshotBytesPerTick
	for _, id := range c.receivers() {
		t := c.outgoing[id]
		if c.now-t.lastHeard > abandonAfterTicks || !c.IsLeader() {
			delete(c.outgoing, id)
			c.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
			continue
		}
		if c.now-t.lastHeard > resendAfterTicks {
			t.sent = t.acked
		}
		for t.sent < len(t.data) && t.sent-t.acked < windowChunks*c.conf.ChunkSize && budget > 0 {
			n := min(c.conf.ChunkSize, len(t.data)-t.sent)
			c.outbox = append(c.outbox, Envelope{To: id, From: c.conf.ID, Chunk: &SnapshotChunk{
				t.index, t.term, len(t.data), t.sent, t.data[t.sent : t.sent+n]}})
			t.sent += n
			budget -= n
		}
	}
}

// receiveChunk takes a part of a snapshot. Parts come in order or are asked for again by saying how far they came.
func (c *Core) receiveChunk(from uint64, p *SnapshotChunk) {
	if p.Index == 0 || p.Total <= 0 || p.Total > MaxSnapshotSize || p.Offset < 0 || p.Offset+len(p.Data) > p.Total {
		return
	}
	a := c.incoming[from]
	if a == nil || a.index != p.Index || a.term != p.Term || a.total != p.Total {
		if p.Offset != 0 {
			c.outbox = append(c.outbox, Envelope{To: from, From: c.conf.ID, Ack: &ChunkAck{p.Index, 0}})
			return
		}
		a = &incomingTransfer{index: p.Index, term: p.Term, total: p.Total}
		c.incoming[from] = a
	}
	a.lastHeard = c.now
	if p.Offset == len(a.data) {
		a.data = append(a.data, p.Data...) // grows with what came, not with what was claimed
	}
	c.outbox = append(c.outbox, Envelope{To: from, From: c.conf.ID, Ack: &ChunkAck{p.Index, len(a.data)}})
	if len(a.data) < a.total {
		return
	}
	delete(c.incoming, from)
	meta, _, err := disk.DecodeSnapshot("a snapshot that was sent", a.data)
	if err != nil || meta.GetIndex() != a.index {
		return // spoilt on its way: raft asks for another
	}
	_ = c.raftNode.Step(&raftpb.Message{Type: raftpb.MsgSnap.Enum(), To: proto.Uint64(c.conf.ID), From: proto.Uint64(from),
		Term: proto.Uint64(a.term), Snapshot: &raftpb.Snapshot{Data: a.data, Metadata: meta}})
}

// receiveAck takes word of how much has come.
func (c *Core) receiveAck(from uint64, g *ChunkAck) {
	t := c.outgoing[from]
	if t == nil || t.data == nil || g.Index != t.index || g.Offset < 0 || g.Offset > len(t.data) {
		return
	}
	t.lastHeard = c.now
	if t.repeatedAcks++; g.Offset != t.acked {
		t.repeatedAcks = 0
	}
	if g.Offset < t.acked || t.repeatedAcks >= resendAfterAcks { // the receiver has begun anew, or a piece was lost on its way
		t.sent, t.repeatedAcks = g.Offset, 0
	}
	t.acked = g.Offset
	t.sent = max(t.sent, t.acked)
	if t.acked == len(t.data) {
		delete(c.outgoing, from)
		c.raftNode.ReportSnapshot(from, raft.SnapshotFinish)
	}
}

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
	window       = 16  // pieces that may be under way
	lostAfter    = 3   // words without progress after which pieces are sent again at once
	resendAfter  = 10  // ticks without word after which pieces are sent again
	abandonAfter = 100 // ticks without word after which a transfer is given up
	// MaxSnapshot bounds what a sender may claim of a snapshot's size.
	MaxSnapshot = 2 << 30
)

// Piece is a part of a snapshot on its way.
type Piece struct {
	Index  uint64 `msgpack:"i"` // of the snapshot
	Term   uint64 `msgpack:"t"` // of the sender
	Total  int    `msgpack:"n"`
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// Got tells the sender how much has come.
type Got struct {
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// transfer is a snapshot that is being sent.
type transfer struct {
	to, term    uint64
	index       uint64
	data        []byte // encoded; nil until it was read
	sent, acked int
	same        int // words in a row that nothing more has come
	heard       int64
}

// arrival is a snapshot that is coming in.
type arrival struct {
	index, term uint64
	data        []byte
	total       int
	heard       int64
}

// begin takes raft's wish to send a snapshot. The bytes are the newest snapshot's, which may be newer than the one
// that raft had in mind.
func (c *Core) begin(m *raftpb.Message) {
	if c.out[m.GetTo()] != nil {
		return
	}
	c.out[m.GetTo()] = &transfer{to: m.GetTo(), term: m.GetTerm(), heard: c.now}
	// Raft takes no snapshot that does not name its receiver: for one that has just joined, a new one is due.
	c.force = c.force || !has(c.savedMembers, m.GetTo())
	c.wantsSnapshot = true
}

// WantsSnapshot tells that the newest snapshot is to be read and given to Held.
func (c *Core) WantsSnapshot() bool { return c.wantsSnapshot && !c.force }

// Held takes the newest snapshot's bytes, or an error if there are none to be had. Transfers under way keep those
// that they began with.
func (c *Core) Held(b []byte, err error) {
	c.wantsSnapshot = false
	var meta *raftpb.SnapshotMetadata
	if err == nil {
		meta, _, err = disk.DecodeSnapshot("the newest snapshot", b)
	}
	for _, id := range c.receivers() {
		if t := c.out[id]; t.data == nil && err == nil {
			t.data, t.index, t.heard = b, meta.GetIndex(), c.now
		} else if t.data == nil {
			delete(c.out, id)
			c.raw.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

func (c *Core) receivers() []uint64 { return slices.Sorted(maps.Keys(c.out)) }

// pump sends pieces, within the rate that all transfers share.
func (c *Core) pump() {
	for id, a := range c.in {
		if c.now-a.heard > abandonAfter {
			delete(c.in, id)
		}
	}
	budget := c.conf.Rate
	for _, id := range c.receivers() {
		t := c.out[id]
		if c.now-t.heard > abandonAfter || !c.Leads() {
			delete(c.out, id)
			c.raw.ReportSnapshot(id, raft.SnapshotFailure)
			continue
		}
		if c.now-t.heard > resendAfter {
			t.sent = t.acked
		}
		for t.sent < len(t.data) && t.sent-t.acked < window*c.conf.Piece && budget > 0 {
			n := min(c.conf.Piece, len(t.data)-t.sent)
			c.envelopes = append(c.envelopes, Envelope{To: id, From: c.conf.ID, Piece: &Piece{
				t.index, t.term, len(t.data), t.sent, t.data[t.sent : t.sent+n]}})
			t.sent += n
			budget -= n
		}
	}
}

// piece takes a part of a snapshot. Parts come in order or are asked for again by saying how far they came.
func (c *Core) piece(from uint64, p *Piece) {
	if p.Index == 0 || p.Total <= 0 || p.Total > MaxSnapshot || p.Offset < 0 || p.Offset+len(p.Data) > p.Total {
		return
	}
	a := c.in[from]
	if a == nil || a.index != p.Index || a.term != p.Term || a.total != p.Total {
		if p.Offset != 0 {
			c.envelopes = append(c.envelopes, Envelope{To: from, From: c.conf.ID, Got: &Got{p.Index, 0}})
			return
		}
		a = &arrival{index: p.Index, term: p.Term, total: p.Total}
		c.in[from] = a
	}
	a.heard = c.now
	if p.Offset == len(a.data) {
		a.data = append(a.data, p.Data...) // grows with what came, not with what was claimed
	}
	c.envelopes = append(c.envelopes, Envelope{To: from, From: c.conf.ID, Got: &Got{p.Index, len(a.data)}})
	if len(a.data) < a.total {
		return
	}
	delete(c.in, from)
	meta, _, err := disk.DecodeSnapshot("a snapshot that was sent", a.data)
	if err != nil || meta.GetIndex() != a.index {
		return // spoilt on its way: raft asks for another
	}
	_ = c.raw.Step(&raftpb.Message{Type: raftpb.MsgSnap.Enum(), To: proto.Uint64(c.conf.ID), From: proto.Uint64(from),
		Term: proto.Uint64(a.term), Snapshot: &raftpb.Snapshot{Data: a.data, Metadata: meta}})
}

// got takes word of how much has come.
func (c *Core) got(from uint64, g *Got) {
	t := c.out[from]
	if t == nil || t.data == nil || g.Index != t.index || g.Offset < 0 || g.Offset > len(t.data) {
		return
	}
	t.heard = c.now
	if t.same++; g.Offset != t.acked {
		t.same = 0
	}
	if g.Offset < t.acked || t.same >= lostAfter { // the receiver has begun anew, or a piece was lost on its way
		t.sent, t.same = g.Offset, 0
	}
	t.acked = g.Offset
	t.sent = max(t.sent, t.acked)
	if t.acked == len(t.data) {
		delete(c.out, from)
		c.raw.ReportSnapshot(from, raft.SnapshotFinish)
	}
}

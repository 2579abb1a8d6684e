package core

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/store/disk"
)

const (
	windowChunks      = 16  // chunks of one transfer that may be unacknowledged
	resendAfterAcks   = 3   // acknowledgements without progress after which chunks are sent again at once
	resendAfterTicks  = 10  // ticks without an acknowledgement after which chunks are sent again
	abandonAfterTicks = 100 // ticks without a message after which a transfer is given up
	// MaxSnapshotSize bounds the bytes that a sender may claim a snapshot to have.
	MaxSnapshotSize = 2 << 30
)

// SnapshotChunk is a part of an encoded snapshot.
type SnapshotChunk struct {
	Index  uint64 `msgpack:"i"` // of the snapshot
	Term   uint64 `msgpack:"t"` // of the sender
	Total  int    `msgpack:"n"` // bytes of the whole snapshot
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

func (s *SnapshotChunk) valid() bool {
	sizeValid := s.Total > 0 && s.Total <= MaxSnapshotSize
	return s.Index != 0 && sizeValid && s.Offset >= 0 && s.Offset+len(s.Data) <= s.Total
}

// ChunkAck tells the sender how many bytes of a snapshot have come.
type ChunkAck struct {
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// outgoingTransfer is a snapshot that is being sent.
type outgoingTransfer struct {
	to, term     uint64
	index        uint64
	data         []byte // encoded; nil until it was read
	sent, acked  int    // bytes
	repeatedAcks int    // acknowledgements in a row without progress
	lastHeard    int64  // in ticks
}

// incomingTransfer is a snapshot that is being received.
type incomingTransfer struct {
	index, term uint64
	data        []byte
	total       int   // bytes
	lastHeard   int64 // in ticks
}

func (t *incomingTransfer) matches(chunk *SnapshotChunk) bool {
	return t.index == chunk.Index && t.term == chunk.Term && t.total == chunk.Total
}

// beginTransfer takes raft's request to send a snapshot. What is sent is the newest one, which may be newer than the
// one that raft had in mind.
func (c *Core) beginTransfer(request *raftpb.Message) {
	to := request.GetTo()
	if c.outgoing[to] != nil {
		return
	}
	c.outgoing[to] = &outgoingTransfer{to: to, term: request.GetTerm(), lastHeard: c.now}
	// Raft takes no snapshot that does not name its receiver: for one that has just joined, a new one is due.
	if !isMember(c.snapshotMembers, to) {
		c.snapshotForced = true
	}
	c.needsSnapshotData = true
}

// NeedsSnapshotData tells that the newest snapshot is to be read and given to ProvideSnapshotData.
func (c *Core) NeedsSnapshotData() bool { return c.needsSnapshotData && !c.snapshotForced }

// ProvideSnapshotData takes the newest snapshot's bytes, or the error that kept them from being read, which ends the
// transfers that wait for them. Transfers under way keep the snapshot that they began with.
func (c *Core) ProvideSnapshotData(data []byte, err error) {
	c.needsSnapshotData = false
	var meta *raftpb.SnapshotMetadata
	if err == nil {
		meta, _, err = disk.DecodeSnapshot("the newest snapshot", data)
	}
	for _, id := range c.receivers() {
		transfer := c.outgoing[id]
		if transfer.data != nil {
			continue
		}
		if err != nil {
			c.failTransfer(id)
			continue
		}
		transfer.data = data
		transfer.index = meta.GetIndex()
		transfer.lastHeard = c.now
	}
}

// failTransfer gives a transfer up; raft asks for another when it hears of the receiver again.
func (c *Core) failTransfer(id uint64) {
	delete(c.outgoing, id)
	c.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
}

// receivers returns the members to which snapshots are being sent, in a fixed order.
func (c *Core) receivers() []uint64 { return slices.Sorted(maps.Keys(c.outgoing)) }

// sendChunks sends what the windows of the transfers and the rate that they share allow.
func (c *Core) sendChunks() {
	for from, transfer := range c.incoming {
		if c.now-transfer.lastHeard > abandonAfterTicks {
			delete(c.incoming, from)
		}
	}
	budget := c.conf.SnapshotBytesPerTick
	for _, id := range c.receivers() {
		transfer := c.outgoing[id]
		silence := c.now - transfer.lastHeard
		if silence > abandonAfterTicks || !c.IsLeader() {
			c.failTransfer(id)
			continue
		}
		if silence > resendAfterTicks {
			transfer.sent = transfer.acked
		}
		budget = c.sendWindow(transfer, budget)
	}
}

// sendWindow sends a transfer's next chunks and returns what is left of the budget in bytes.
func (c *Core) sendWindow(transfer *outgoingTransfer, budget int) int {
	window := windowChunks * c.conf.ChunkSize
	for transfer.sent < len(transfer.data) && transfer.sent-transfer.acked < window && budget > 0 {
		size := min(c.conf.ChunkSize, len(transfer.data)-transfer.sent)
		c.send(Envelope{To: transfer.to, Chunk: &SnapshotChunk{
			Index:  transfer.index,
			Term:   transfer.term,
			Total:  len(transfer.data),
			Offset: transfer.sent,
			Data:   transfer.data[transfer.sent : transfer.sent+size],
		}})
		transfer.sent += size
		budget -= size
	}
	return budget
}

// receiveChunk takes a part of a snapshot. Parts count in order; each acknowledgement says how far they came, and so
// asks for the next.
func (c *Core) receiveChunk(from uint64, chunk *SnapshotChunk) {
	if !chunk.valid() {
		return
	}
	transfer := c.incoming[from]
	if transfer == nil || !transfer.matches(chunk) {
		if chunk.Offset != 0 {
			c.send(Envelope{To: from, Ack: &ChunkAck{chunk.Index, 0}})
			return
		}
		transfer = &incomingTransfer{index: chunk.Index, term: chunk.Term, total: chunk.Total}
		c.incoming[from] = transfer
	}
	transfer.lastHeard = c.now
	if chunk.Offset == len(transfer.data) {
		transfer.data = append(transfer.data, chunk.Data...) // grows with what came, not with what was claimed
	}
	c.send(Envelope{To: from, Ack: &ChunkAck{chunk.Index, len(transfer.data)}})
	if len(transfer.data) < transfer.total {
		return
	}
	delete(c.incoming, from)
	c.handSnapshotToRaft(from, transfer)
}

// handSnapshotToRaft ends a transfer. One that was damaged on its way is dropped, and raft asks for another.
func (c *Core) handSnapshotToRaft(from uint64, transfer *incomingTransfer) {
	meta, _, err := disk.DecodeSnapshot(sentSnapshotName, transfer.data)
	if err != nil || meta.GetIndex() != transfer.index {
		return
	}
	_ = c.raftNode.Step(&raftpb.Message{ // an error only says that the message came too late
		Type:     raftpb.MsgSnap.Enum(),
		To:       new(c.conf.ID),
		From:     new(from),
		Term:     new(transfer.term),
		Snapshot: &raftpb.Snapshot{Data: transfer.data, Metadata: meta},
	})
}

// receiveAck takes an acknowledgement of how many bytes have come.
func (c *Core) receiveAck(from uint64, ack *ChunkAck) {
	transfer := c.outgoing[from]
	if transfer == nil || transfer.data == nil || ack.Index != transfer.index {
		return
	}
	if ack.Offset < 0 || ack.Offset > len(transfer.data) {
		return
	}
	transfer.lastHeard = c.now
	if ack.Offset == transfer.acked {
		transfer.repeatedAcks++
	} else {
		transfer.repeatedAcks = 0
	}
	receiverRestarted := ack.Offset < transfer.acked
	chunkWasLost := transfer.repeatedAcks >= resendAfterAcks
	if receiverRestarted || chunkWasLost {
		transfer.sent = ack.Offset
		transfer.repeatedAcks = 0
	}
	transfer.acked = ack.Offset
	transfer.sent = max(transfer.sent, transfer.acked)
	if transfer.acked == len(transfer.data) {
		delete(c.outgoing, from)
		c.raftNode.ReportSnapshot(from, raft.SnapshotFinish)
	}
}

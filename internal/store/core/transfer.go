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
	abandonAfterTicks = 100 // ticks without a message after which a transfer is abandoned
	// MaxSnapshotSize bounds the size, in bytes, that a sender may announce for a snapshot.
	MaxSnapshotSize = 2 << 30
)

// SnapshotChunk is a part of an encoded snapshot.
type SnapshotChunk struct {
	Index  uint64 `msgpack:"i"` // of the snapshot
	Term   uint64 `msgpack:"t"` // of the sender
	Total  int    `msgpack:"n"` // bytes of the complete snapshot
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

func (s *SnapshotChunk) valid() bool {
	sizeValid := s.Total > 0 && s.Total <= MaxSnapshotSize
	return s.Index != 0 && sizeValid && s.Offset >= 0 && s.Offset+len(s.Data) <= s.Total
}

// ChunkAck acknowledges the bytes of a snapshot received so far, without a gap.
type ChunkAck struct {
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"`
}

// outgoingTransfer is a snapshot that is being sent.
type outgoingTransfer struct {
	to, term       uint64
	index          uint64
	data           []byte // encoded; nil until it was read from disk
	sent, acked    int    // bytes
	repeatedAcks   int    // acknowledgements in a row without progress
	lastActivityAt int64  // tick of the last acknowledgement; before the first one, of the transfer's start or of the arrival of data
}

// incomingTransfer is a snapshot that is being received.
type incomingTransfer struct {
	index, term    uint64
	data           []byte
	total          int   // bytes
	lastActivityAt int64 // tick of the last chunk
}

func (t *incomingTransfer) matches(chunk *SnapshotChunk) bool {
	return t.index == chunk.Index && t.term == chunk.Term && t.total == chunk.Total
}

// beginTransfer starts a transfer in chunks instead of raft's MsgSnap. It sends the newest snapshot, which may be newer
// than the one in the message.
func (c *Core) beginTransfer(request *raftpb.Message) {
	to := request.GetTo()
	if c.outgoing[to] != nil {
		return
	}
	c.outgoing[to] = &outgoingTransfer{to: to, term: request.GetTerm(), lastActivityAt: c.now}
	// Raft rejects a snapshot whose members do not include the receiver. An instance that has just joined therefore needs
	// a new snapshot.
	if !isMember(c.snapshotMembers, to) {
		c.snapshotForced = true
	}
	c.needsSnapshotData = true
}

// NeedsSnapshotData reports whether the owner must read the newest snapshot and pass it to ProvideSnapshotData.
func (c *Core) NeedsSnapshotData() bool { return c.needsSnapshotData && !c.snapshotForced }

// ProvideSnapshotData supplies the newest snapshot's bytes to the transfers that wait for them. If err is not nil or the
// bytes are damaged, those transfers fail. Transfers in progress keep the snapshot that they began with.
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
		transfer.lastActivityAt = c.now
	}
}

// failTransfer abandons a transfer. Raft requests another one when the receiver responds again.
func (c *Core) failTransfer(id uint64) {
	delete(c.outgoing, id)
	c.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
}

// receivers returns the members to which snapshots are being sent, in a fixed order.
func (c *Core) receivers() []uint64 { return slices.Sorted(maps.Keys(c.outgoing)) }

// sendChunks sends as many chunks as the windows of the transfers and their common rate limit allow. It abandons
// transfers without progress, and all outgoing ones once this instance is not the leader.
func (c *Core) sendChunks() {
	for from, transfer := range c.incoming {
		if c.now-transfer.lastActivityAt > abandonAfterTicks {
			delete(c.incoming, from)
		}
	}
	budget := c.conf.SnapshotBytesPerTick
	for _, id := range c.receivers() {
		transfer := c.outgoing[id]
		idleTicks := c.now - transfer.lastActivityAt
		if idleTicks > abandonAfterTicks || !c.IsLeader() {
			c.failTransfer(id)
			continue
		}
		if idleTicks > resendAfterTicks {
			transfer.sent = transfer.acked
		}
		budget = c.sendWindow(transfer, budget)
	}
}

// sendWindow sends a transfer's next chunks and returns the remaining budget in bytes.
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

// receiveChunk processes a part of a snapshot. Only the next part in order is kept. Each acknowledgement states how many
// bytes were received, and thereby requests the next part.
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
	transfer.lastActivityAt = c.now
	if chunk.Offset == len(transfer.data) {
		transfer.data = append(transfer.data, chunk.Data...) // grows with the bytes received, not with the announced total
	}
	c.send(Envelope{To: from, Ack: &ChunkAck{chunk.Index, len(transfer.data)}})
	if len(transfer.data) < transfer.total {
		return
	}
	delete(c.incoming, from)
	c.passSnapshotToRaft(from, transfer)
}

// passSnapshotToRaft passes a completely received snapshot to raft. A damaged one is dropped, and raft requests another.
func (c *Core) passSnapshotToRaft(from uint64, transfer *incomingTransfer) {
	meta, _, err := disk.DecodeSnapshot(receivedSnapshotName, transfer.data)
	if err != nil || meta.GetIndex() != transfer.index {
		return
	}
	_ = c.raftNode.Step(&raftpb.Message{ // fails only for a message that is out of date
		Type:     raftpb.MsgSnap.Enum(),
		To:       new(c.conf.ID),
		From:     new(from),
		Term:     new(transfer.term),
		Snapshot: &raftpb.Snapshot{Data: transfer.data, Metadata: meta},
	})
}

// receiveAck processes an acknowledgement. It advances the window, or goes back to the acknowledged offset if a chunk
// was lost or the receiver has restarted.
func (c *Core) receiveAck(from uint64, ack *ChunkAck) {
	transfer := c.outgoing[from]
	if transfer == nil || transfer.data == nil || ack.Index != transfer.index {
		return
	}
	if ack.Offset < 0 || ack.Offset > len(transfer.data) {
		return
	}
	transfer.lastActivityAt = c.now
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

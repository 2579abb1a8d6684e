package core

import (
	"math/rand/v2"
	"testing"

	"cloverrock/internal/store/machine"
)

// A snapshot is sent in chunks within the rate limit, and arrives complete although chunks and acknowledgements are
// lost.
func TestSnapshotTransferRespectsRateLimitAndToleratesLoss(t *testing.T) {
	cl := newCluster(t, 1, 1, 1)
	leader, receiver := cl.elect(1), cl.cores[3]
	cl.stop(3)
	for i := range 300 {
		put := machine.Op{Kind: machine.Put, NS: "n", Key: string(rune('a' + i%20)), Value: make([]byte, 2000)}
		leader.Propose(uint64(i), &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
		cl.runUntilIdle()
	}
	leader.conf.RetainedEntries = 10
	leader.conf.SnapshotBytesPerTick = 8 << 10
	leader.conf.ChunkSize = 1 << 10
	snapshot := leader.DueSnapshot(true)
	encoded, err := EncodeSnapshot(snapshot)
	if err != nil || leader.SnapshotSaved(snapshot, nil) == 0 {
		t.Fatalf("no part of the log may be removed after the snapshot: %v", err)
	}

	cl.snapshotData = encoded
	cl.cores[3] = receiver
	cl.running = []uint64{1, 2, 3}
	rng := rand.New(rand.NewPCG(2, 2))
	sent := 0 // bytes in this tick
	cl.transmit = func(e Envelope) {
		if e.Chunk != nil {
			sent += len(e.Chunk.Data)
		}
		lost := (e.Chunk != nil || e.Ack != nil) && rng.IntN(7) == 0
		if !lost {
			cl.cores[e.To].Step(e)
		}
	}
	for tick := 0; receiver.Machine().Index() < snapshot.Meta.GetIndex(); tick++ {
		if tick > 500 {
			t.Fatalf("the snapshot has not arrived after 500 ticks: %+v", leader.Status())
		}
		sent = 0
		leader.Tick()
		receiver.Tick()
		cl.runUntilIdle()
		if sent > leader.conf.SnapshotBytesPerTick+leader.conf.ChunkSize {
			t.Fatalf("%d bytes sent in a tick, the limit is %d plus one chunk", sent, leader.conf.SnapshotBytesPerTick)
		}
	}
	if receiver.Machine().KeyCount() != leader.Machine().KeyCount() {
		t.Errorf("%d keys at the receiver, %d at the leader", receiver.Machine().KeyCount(), leader.Machine().KeyCount())
	}
}

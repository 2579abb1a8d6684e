// Package core is one instance of the replicated store without its surroundings: it is told ticks, messages,
// proposals and what was saved, and answers with what to save, send and say. It does no I/O, reads no clock and
// starts nothing, so that a simulator runs the same code as a daemon. Consensus is etcd's raft.
package core

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// Config of one instance. Zero values get defaults.
type Config struct {
	ID                   uint64
	Nonce                uint64 // new with each start: marks of an earlier life answer nobody
	ElectionTicks        int    // ticks without a leader before an election
	HeartbeatTicks       int    // ticks between heartbeats
	TickMS               int64  // milliseconds of logical time in a tick
	SnapshotInterval     uint64 // entries between snapshots
	RetainedEntries      uint64 // entries kept behind a snapshot, for slow followers
	TimeoutTicks         int    // ticks that a proposal or read may wait
	ChunkSize            int    // bytes of a snapshot in one message
	SnapshotBytesPerTick int    // bytes of snapshots sent in a tick
	MaxBatch             int    // proposals given to raft at once
	Logger               raft.Logger
	Format               uint8                           // newest form of commands that this build knows
	Observe              func(index, term, chain uint64) // told each entry applied; for checks, may be nil
}

func (c *Config) setDefaults() {
	def := func(v *int, to int) {
		if *v == 0 {
			*v = to
		}
	}
	def(&c.ElectionTicks, 10)
	def(&c.HeartbeatTicks, 1)
	def(&c.TimeoutTicks, 50)
	def(&c.ChunkSize, 64<<10)
	def(&c.SnapshotBytesPerTick, 1<<20)
	def(&c.MaxBatch, 512)
	if c.TickMS == 0 {
		c.TickMS = 100
	}
	if c.SnapshotInterval == 0 {
		c.SnapshotInterval = 20000
	}
	if c.RetainedEntries == 0 {
		c.RetainedEntries = 5000
	}
	if c.Format == 0 {
		c.Format = machine.Format
	}
}

// Envelope is one message between instances: of raft, or of a snapshot's transfer.
type Envelope struct {
	To, From uint64
	Raft     *raftpb.Message
	Chunk    *SnapshotChunk
	Ack      *ChunkAck
}

// Errors that answer a proposal or read.
var (
	ErrNoLeader       = errors.New("store: no leader is known; nothing was done")
	ErrOutcomeUnknown = errors.New("store: no outcome in time; it may still be done. Retry under the same sequence number")
	ErrBusy           = errors.New("store: too many proposals wait; nothing was done")
	ErrHalted         = errors.New("store: this instance has stopped applying")
)

// Answer ends a proposal or read.
type Answer struct {
	Token  uint64
	Err    error
	Result machine.Result
}

// Work is what has to be done, in this order: send Early; save Install, Hard and Entries; send Late; call Done.
type Work struct {
	SendBeforeSave, SendAfterSave []Envelope
	SnapshotData                  []byte // an encoded snapshot that replaces the state; nil: none
	SnapshotMeta                  *raftpb.SnapshotMetadata
	HardState                     *raftpb.HardState // nil: unchanged
	Entries                       []*raftpb.Entry
	ready                         raft.Ready
	needsAdvance                  bool // ready is raft's, and is to be acknowledged
}

// Snapshot is a snapshot that is due: to be written in the background, and reported by Saved.
type Snapshot struct {
	Meta  *raftpb.SnapshotMetadata
	Image *machine.Image
}

// Core is one instance. It is not safe for concurrent use.
type Core struct {
	conf      Config
	raftNode  *raft.RawNode
	storage   *raft.MemoryStorage
	machine   *machine.Machine
	confState *raftpb.ConfState
	now       int64 // ticks
	applied   uint64
	halted    error

	queuedProposals []*raftpb.Entry
	queuedReads     []uint64 // tokens that wait for the next read index
	pending         map[uint64]pendingProposal
	readRequests    []readRequest
	confirmedReads  []confirmedRead
	answers         []Answer
	serial          uint64

	leader, wasLead            uint64
	freshAt                    int64 // the state was the latest at this tick or later; -1: never known
	snapshotIndex, savingIndex uint64
	outgoing                   map[uint64]*outgoingTransfer
	incoming                   map[uint64]*incomingTransfer
	needsSnapshotData          bool
	memberVersion              uint64            // grows when what is noted of members may have changed
	snapshotForced             bool              // a snapshot is due now
	snapshotMembers            *raftpb.ConfState // as the newest snapshot has them
	held                       []byte            // the encoded snapshot that transfers share
	heldMeta                   *raftpb.SnapshotMetadata
	outbox                     []Envelope
	clockTick                  int64
	caughtUpChecks             map[uint64]int
	lastHeard                  map[uint64]int64
	transferringTo             uint64
}

// pendingProposal is a proposal whose result is awaited.
type pendingProposal struct {
	token, serial uint64
	deadline      int64
}

// readRequest is a read index that was asked for.
type readRequest struct {
	requestID uint64
	askedAt   int64
	tokens    []uint64
}

// confirmedRead is a read that waits until the state has come as far as its index.
type confirmedRead struct {
	index   uint64
	askedAt int64 // tick at which it was asked for
	tokens  []uint64
}

// InitialState is what an instance starts from.
type InitialState struct {
	Snapshot     []byte // encoded; nil for one that has joined and was sent nothing yet
	SnapshotName string // of the snapshot, for messages
	Log          *disk.Loaded
}

// New returns an instance in the given state.
func New(conf Config, s InitialState) (*Core, error) {
	conf.setDefaults()
	meta, m := &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{}}, machine.New()
	if s.Snapshot != nil {
		var image io.Reader
		var err error
		if meta, image, err = disk.DecodeSnapshot(s.SnapshotName, s.Snapshot); err != nil {
			return nil, err
		}
		if m, err = machine.Restore(image); err != nil {
			return nil, err
		}
	}
	if m.Index() != meta.GetIndex() {
		return nil, fmt.Errorf("store: snapshot %s holds index %d in a file of index %d", s.SnapshotName, m.Index(), meta.GetIndex())
	}
	c := &Core{conf: conf, storage: raft.NewMemoryStorage(), machine: m.Speaking(conf.Format), confState: meta.GetConfState(), snapshotMembers: meta.GetConfState(), applied: meta.GetIndex(),
		pending: map[uint64]pendingProposal{}, freshAt: -1, snapshotIndex: meta.GetIndex(), outgoing: map[uint64]*outgoingTransfer{}, incoming: map[uint64]*incomingTransfer{},
		caughtUpChecks: map[uint64]int{}, lastHeard: map[uint64]int64{}}
	if s.Snapshot != nil {
		if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
			return nil, fmt.Errorf("store: start from snapshot: %w", err)
		}
	}
	if l := s.Log; l != nil {
		entries := l.Entries
		if len(entries) > 0 && entries[0].GetIndex() != meta.GetIndex()+1 {
			return nil, fmt.Errorf("store: the log begins at entry %d and the snapshot ends at %d", entries[0].GetIndex(), meta.GetIndex())
		}
		if err := c.storage.Append(entries); err != nil {
			return nil, fmt.Errorf("store: start from log: %w", err)
		}
		hard := proto.Clone(l.Hard).(*raftpb.HardState)
		last, _ := c.storage.LastIndex()
		if hard.GetCommit() > last {
			return nil, fmt.Errorf("store: the log ends at entry %d, and %d was committed: it has lost its end", last, hard.GetCommit())
		}
		if hard.GetCommit() < meta.GetIndex() {
			hard.Commit = proto.Uint64(meta.GetIndex())
		}
		if hard.GetTerm() < meta.GetTerm() {
			hard.Term = proto.Uint64(meta.GetTerm())
		}
		if err := c.storage.SetHardState(hard); err != nil {
			return nil, fmt.Errorf("store: start from hard state: %w", err)
		}
	}
	var err error
	c.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: conf.ID, ElectionTick: conf.ElectionTicks, HeartbeatTick: conf.HeartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: 512 << 10, MaxInflightMsgs: 64, MaxInflightBytes: 8 << 20, MaxUncommittedEntriesSize: 32 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: conf.Logger, StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("store: start raft: %w", err)
	}
	return c, nil
}

// InitialSnapshot returns the encoded snapshot that the first members of a new cluster start from: the same bytes at each.
func InitialSnapshot(voters []uint64, records []machine.Op) ([]byte, error) {
	m := machine.New()
	b, err := machine.Encode(&machine.Command{Kind: machine.TxnKind, Then: records})
	if err != nil {
		return nil, err
	}
	res, _, err := m.Apply(1, b)
	if err != nil {
		return nil, err
	}
	if res.Code != machine.OK {
		return nil, fmt.Errorf("store: found a cluster: %s", res.Code)
	}
	voters = slices.Sorted(slices.Values(voters))
	return EncodeSnapshot(&Snapshot{&raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: voters}}, m.Image()})
}

// EncodeSnapshot gives a snapshot its form on the disk and between instances.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	var b writer
	err := disk.EncodeSnapshot(&b, s.Meta, s.Image.Write)
	return b, err
}

type writer []byte

func (w *writer) Write(b []byte) (int, error) { *w = append(*w, b...); return len(b), nil }

var _ io.Writer = (*writer)(nil)

// Machine is the state, for reads on the owner's goroutine.
func (c *Core) Machine() *machine.Machine { return c.machine }

// Tick passes one unit of time.
func (c *Core) Tick() {
	c.now++
	c.raftNode.Tick()
	c.expireWaits()
	c.sendChunks()
	c.leaderDuties()
}

// Step takes a message.
func (c *Core) Step(e Envelope) {
	c.lastHeard[e.From] = c.now
	switch {
	case e.Chunk != nil:
		c.receiveChunk(e.From, e.Chunk)
	case e.Ack != nil:
		c.receiveAck(e.From, e.Ack)
	case e.Raft != nil:
		if raft.IsLocalMsg(e.Raft.GetType()) || e.Raft.GetType() == raftpb.MsgSnap || e.Raft.GetFrom() != e.From {
			return // a peer that says what only this instance may say
		}
		_ = c.raftNode.Step(e.Raft) // an error says only that the message came too late
	}
}

// nextRequestID returns a number that no other proposal or read has, in this life or another.
func (c *Core) nextRequestID() uint64 {
	c.serial++
	return c.conf.Nonce ^ c.serial*0x9e3779b97f4a7c15
}

// Propose has a command applied and answers the token with its result.
func (c *Core) Propose(token uint64, cmd *machine.Command) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	if c.leader == raft.None {
		c.answer(token, ErrNoLeader, machine.Result{})
		return
	}
	if len(c.queuedProposals) >= 8*c.conf.MaxBatch {
		c.answer(token, ErrBusy, machine.Result{})
		return
	}
	if b := c.register(token, cmd); b != nil {
		c.queuedProposals = append(c.queuedProposals, &raftpb.Entry{Data: b})
	}
}

// register encodes a command and waits for its result; nil if it cannot be encoded, which is answered.
func (c *Core) register(token uint64, cmd *machine.Command) []byte {
	cmd.Request = c.nextRequestID()
	b, err := machine.Encode(cmd)
	if err != nil {
		c.answer(token, err, machine.Result{})
		return nil
	}
	c.pending[cmd.Request] = pendingProposal{token, c.serial, c.now + int64(c.conf.TimeoutTicks)}
	return b
}

// Read answers the token when the state here holds all that was answered anywhere before the call.
func (c *Core) Read(token uint64) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	c.queuedReads = append(c.queuedReads, token)
}

// ProposeMembershipChange proposes a change of the members with a command that notes it.
func (c *Core) ProposeMembershipChange(token uint64, change *raftpb.ConfChangeV2, cmd *machine.Command) {
	if c.leader == raft.None {
		c.answer(token, ErrNoLeader, machine.Result{})
		return
	}
	if change.Context = c.register(token, cmd); change.Context == nil {
		return
	}
	if err := c.raftNode.ProposeConfChange(change); err != nil {
		delete(c.pending, cmd.Request)
		c.answer(token, ErrNoLeader, machine.Result{})
	}
}

// TransferLeadership asks the leader, if this instance is it, to hand over: before a planned stop, or with a full disk.
func (c *Core) TransferLeadership() (to uint64, ok bool) {
	if !c.IsLeader() {
		return 0, false
	}
	best, match := uint64(0), uint64(0)
	c.raftNode.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
		if id != c.conf.ID && typ == raft.ProgressTypePeer && c.recentlyHeard(id) && pr.Match >= match {
			best, match = id, pr.Match
		}
	})
	if best == 0 {
		return 0, false
	}
	c.transferringTo = best
	c.raftNode.TransferLeader(best)
	return best, true
}

// Leader is the instance that is taken for the leader; 0: none.
func (c *Core) Leader() uint64 { return c.leader }

// MembersVersion grows when what is noted of the members may have changed.
func (c *Core) MembersVersion() uint64 { return c.memberVersion }

// IsLeader tells whether this instance is the leader.
func (c *Core) IsLeader() bool {
	return c.leader == c.conf.ID && c.raftNode.BasicStatus().RaftState == raft.StateLeader
}

func (c *Core) answer(token uint64, err error, res machine.Result) {
	if token != 0 {
		c.answers = append(c.answers, Answer{token, err, res})
	}
}

// Answers takes the answers that are ready.
func (c *Core) Answers() []Answer {
	a := c.answers
	c.answers = nil
	return a
}

// flush hands what has come in to raft: proposals in one message, reads under one index.
func (c *Core) flush() {
	for len(c.queuedProposals) > 0 {
		n := min(len(c.queuedProposals), c.conf.MaxBatch)
		err := c.raftNode.Step(&raftpb.Message{Type: raftpb.MsgProp.Enum(), From: proto.Uint64(c.conf.ID), Entries: c.queuedProposals[:n:n]})
		if err != nil { // dropped whole: nothing of it was done
			for _, e := range c.queuedProposals[:n] {
				if cmd, bad := machine.Decode(e.GetData(), c.conf.Format); bad == nil {
					c.answer(c.pending[cmd.Request].token, ErrNoLeader, machine.Result{})
					delete(c.pending, cmd.Request)
				}
			}
		}
		c.queuedProposals = c.queuedProposals[n:]
	}
	c.queuedProposals = nil
	if len(c.queuedReads) > 0 && c.leader != raft.None {
		c.requestReadIndex(c.queuedReads)
		c.queuedReads = nil
	}
}

// Next returns the work that is to be done, or nil.
func (c *Core) Next() *Work {
	c.flush()
	if !c.raftNode.HasReady() {
		if len(c.outbox) == 0 {
			return nil
		}
		w := &Work{SendBeforeSave: c.outbox}
		c.outbox = nil
		return w
	}
	rd := c.raftNode.Ready()
	w := &Work{Entries: rd.Entries, ready: rd, needsAdvance: true, SendBeforeSave: c.outbox}
	c.outbox = nil
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		w.HardState = rd.HardState
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		w.SnapshotData, w.SnapshotMeta = rd.Snapshot.GetData(), rd.Snapshot.GetMetadata()
	}
	if rd.SoftState != nil {
		c.setLeader(rd.SoftState.Lead)
	}
	// A leader may send entries while it writes them itself; all else says what is on the disk.
	early := c.IsLeader()
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgSnap {
			c.beginTransfer(m)
			continue
		}
		e := Envelope{To: m.GetTo(), From: c.conf.ID, Raft: m}
		if early && (m.GetType() == raftpb.MsgApp || m.GetType() == raftpb.MsgHeartbeat) {
			w.SendBeforeSave = append(w.SendBeforeSave, e)
		} else {
			w.SendAfterSave = append(w.SendAfterSave, e)
		}
	}
	return w
}

func (c *Core) setLeader(lead uint64) {
	if lead != c.leader {
		c.leader = lead
		c.clockTick, c.transferringTo = c.now, 0
		clear(c.caughtUpChecks)
	}
}

// Done tells that the work was saved and sent. An error is final: the instance may not go on.
func (c *Core) Done(w *Work) error {
	if !w.needsAdvance {
		return nil
	}
	rd := w.ready
	if w.SnapshotMeta != nil {
		meta, image, err := disk.DecodeSnapshot("a snapshot that was sent", w.SnapshotData)
		if err != nil {
			return err
		}
		m, err := machine.Restore(image)
		if err != nil {
			return err
		}
		if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
			return fmt.Errorf("store: install snapshot: %w", err)
		}
		c.machine, c.confState, c.applied, c.snapshotIndex = m.Speaking(c.conf.Format), meta.GetConfState(), meta.GetIndex(), meta.GetIndex()
		c.snapshotMembers = meta.GetConfState()
		c.memberVersion++
	}
	if w.HardState != nil {
		if err := c.storage.SetHardState(w.HardState); err != nil {
			return fmt.Errorf("store: note hard state: %w", err)
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return fmt.Errorf("store: note entries: %w", err)
	}
	for _, e := range rd.CommittedEntries {
		c.apply(e)
	}
	for _, rs := range rd.ReadStates {
		c.readIndexReceived(rs)
	}
	c.raftNode.Advance(rd)
	c.completeReads()
	return nil
}

// apply applies one committed entry. One that this build does not know stops it for good: raft goes on, so that
// the others keep their quorum, but nothing is applied, proposed or read here any more.
func (c *Core) apply(e *raftpb.Entry) {
	if e.GetType() == raftpb.EntryConfChangeV2 || e.GetType() == raftpb.EntryConfChange {
		c.applyConfChange(e)
		return
	}
	if c.halted != nil {
		return
	}
	if len(e.GetData()) == 0 {
		c.machine.Skip(e.GetIndex())
	} else {
		c.applyCommand(e.GetIndex(), e.GetData())
	}
	c.noteApplied(e)
}

// noteApplied notes that an entry was applied.
func (c *Core) noteApplied(e *raftpb.Entry) {
	if c.halted != nil {
		return
	}
	c.applied = e.GetIndex()
	if c.conf.Observe != nil {
		c.conf.Observe(c.applied, e.GetTerm(), c.machine.Chain())
	}
}

func (c *Core) applyCommand(index uint64, data []byte) {
	res, cmd, err := c.machine.Apply(index, data)
	if err != nil {
		c.halt(fmt.Errorf("%w: entry %d: %w", ErrHalted, index, err))
		return
	}
	if slices.ContainsFunc(cmd.Then, func(o machine.Op) bool { return o.Kind <= machine.Delete && (o.NS == MembersNS || o.NS == RemovedNS) }) {
		c.memberVersion++
	}
	if w, mine := c.pending[cmd.Request]; mine {
		delete(c.pending, cmd.Request)
		c.answer(w.token, nil, res)
	}
}

func (c *Core) halt(err error) {
	c.halted = err
	c.abandonProposals(func(pendingProposal) bool { return true })
	for _, r := range c.confirmedReads {
		c.failReads(r.tokens, err)
	}
	c.confirmedReads = nil
}

func (c *Core) applyConfChange(e *raftpb.Entry) {
	cc := &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		old := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), old); err != nil {
			c.halt(fmt.Errorf("%w: entry %d: %w", ErrHalted, e.GetIndex(), err))
			return
		}
		cc = old.AsV2()
	} else if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		c.halt(fmt.Errorf("%w: entry %d: %w", ErrHalted, e.GetIndex(), err))
		return
	}
	c.confState = c.raftNode.ApplyConfChange(cc)
	if c.halted != nil {
		return
	}
	if len(cc.GetContext()) > 0 {
		c.applyCommand(e.GetIndex(), cc.GetContext())
	} else {
		c.machine.Skip(e.GetIndex())
	}
	c.noteApplied(e)
	for id := range c.outgoing { // a transfer to one that was removed leads nowhere
		if !isMember(c.confState, id) {
			delete(c.outgoing, id)
		}
	}
}

func isMember(s *raftpb.ConfState, id uint64) bool {
	return slices.Contains(s.GetVoters(), id) || slices.Contains(s.GetLearners(), id) ||
		slices.Contains(s.GetVotersOutgoing(), id) || slices.Contains(s.GetLearnersNext(), id)
}

// DueSnapshot returns a snapshot that is to be written now, or nil.
func (c *Core) DueSnapshot(force bool) *Snapshot {
	if c.savingIndex != 0 || c.halted != nil || c.applied == c.snapshotIndex || !force && !c.snapshotForced && c.applied-c.snapshotIndex < c.conf.SnapshotInterval {
		return nil
	}
	s := c.CurrentSnapshot()
	if s != nil {
		c.savingIndex = c.applied
	}
	return s
}

// CurrentSnapshot returns the present state as a snapshot, for a backup; nil if nothing was applied yet.
func (c *Core) CurrentSnapshot() *Snapshot {
	term, err := c.storage.Term(c.applied)
	if err != nil || c.applied == 0 || c.halted != nil {
		return nil
	}
	return &Snapshot{&raftpb.SnapshotMetadata{Index: proto.Uint64(c.applied), Term: proto.Uint64(term), ConfState: c.confState}, c.machine.Image()}
}

// SnapshotSaved tells that a snapshot was written, or could not be, and returns the index up to which the log may go.
func (c *Core) SnapshotSaved(s *Snapshot, err error) (release uint64) {
	index := s.Meta.GetIndex()
	if c.savingIndex == index {
		c.savingIndex = 0
	}
	if err != nil || index <= c.snapshotIndex {
		return 0
	}
	if _, err := c.storage.CreateSnapshot(index, s.Meta.GetConfState(), nil); err != nil {
		return 0
	}
	c.snapshotIndex, c.snapshotMembers, c.snapshotForced = index, s.Meta.GetConfState(), false
	if index <= c.conf.RetainedEntries {
		return 0
	}
	release = index - c.conf.RetainedEntries
	if err := c.storage.Compact(release); err != nil {
		return 0
	}
	return release
}

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
	ID       uint64
	Nonce    uint64 // new with each start: marks of an earlier life answer nobody
	Election int    // ticks without a leader before an election
	Beat     int    // ticks between heartbeats
	TickMS   int64  // milliseconds of logical time in a tick
	Every    uint64 // entries between snapshots
	Keep     uint64 // entries kept behind a snapshot, for slow followers
	Patience int    // ticks that a proposal or read may wait
	Piece    int    // bytes of a snapshot in one message
	Rate     int    // bytes of snapshots sent in a tick
	MaxBatch int    // proposals given to raft at once
	Log      raft.Logger
	Format   uint8                           // newest form of commands that this build knows
	Observe  func(index, term, chain uint64) // told each entry applied; for checks, may be nil
}

func (c *Config) defaults() {
	def := func(v *int, to int) {
		if *v == 0 {
			*v = to
		}
	}
	def(&c.Election, 10)
	def(&c.Beat, 1)
	def(&c.Patience, 50)
	def(&c.Piece, 64<<10)
	def(&c.Rate, 1<<20)
	def(&c.MaxBatch, 512)
	if c.TickMS == 0 {
		c.TickMS = 100
	}
	if c.Every == 0 {
		c.Every = 20000
	}
	if c.Keep == 0 {
		c.Keep = 5000
	}
	if c.Format == 0 {
		c.Format = machine.Format
	}
}

// Envelope is one message between instances: of raft, or of a snapshot's transfer.
type Envelope struct {
	To, From uint64
	Raft     *raftpb.Message
	Piece    *Piece
	Got      *Got
}

// Errors that answer a proposal or read.
var (
	ErrNoLeader = errors.New("store: no leader is known; nothing was done")
	ErrUnknown  = errors.New("store: no outcome in time; it may still be done. Retry under the same sequence number")
	ErrBusy     = errors.New("store: too many proposals wait; nothing was done")
	ErrHalted   = errors.New("store: this instance has stopped applying")
)

// Answer ends a proposal or read.
type Answer struct {
	Token  uint64
	Err    error
	Result machine.Result
}

// Work is what has to be done, in this order: send Early; save Install, Hard and Entries; send Late; call Done.
type Work struct {
	Early, Late []Envelope
	Install     []byte // an encoded snapshot that replaces the state; nil: none
	Snap        *raftpb.SnapshotMetadata
	Hard        *raftpb.HardState // nil: unchanged
	Entries     []*raftpb.Entry
	ready       raft.Ready
	raft        bool // ready is raft's, and is to be acknowledged
}

// Save is a snapshot that is due: to be written in the background, and reported by Saved.
type Save struct {
	Meta  *raftpb.SnapshotMetadata
	Image *machine.Image
}

// Core is one instance. It is not safe for concurrent use.
type Core struct {
	conf    Config
	raw     *raft.RawNode
	log     *raft.MemoryStorage
	m       *machine.Machine
	members *raftpb.ConfState
	now     int64 // ticks
	applied uint64
	halted  error

	queue   []*raftpb.Entry
	reads   []uint64 // tokens that wait for the next read index
	pending map[uint64]wait
	asked   []asked
	reached []reached
	answers []Answer
	serial  uint64

	lead, wasLead  uint64
	freshAt        int64 // the state was the latest at this tick or later; -1: never known
	saved, saving  uint64
	out            map[uint64]*transfer
	in             map[uint64]*arrival
	wantsSnapshot  bool
	memberVersion  uint64            // grows when what is noted of members may have changed
	force          bool              // a snapshot is due now
	savedMembers   *raftpb.ConfState // as the newest snapshot has them
	held           []byte            // the encoded snapshot that transfers share
	heldMeta       *raftpb.SnapshotMetadata
	envelopes      []Envelope
	clockAt        int64
	caught         map[uint64]int
	heard          map[uint64]int64
	transferringTo uint64
}

// wait is a proposal whose result is awaited.
type wait struct {
	token, serial uint64
	until         int64
}

// asked is a read index that was asked for.
type asked struct {
	mark   uint64
	at     int64
	tokens []uint64
}

// reached is a read that waits until the state has come as far as its index.
type reached struct {
	index uint64
	at    int64 // tick at which it was asked for
	token []uint64
}

// State is what an instance starts from.
type State struct {
	Snapshot []byte // encoded; nil for one that has joined and was sent nothing yet
	Name     string // of the snapshot, for messages
	Log      *disk.Loaded
}

// New returns an instance in the given state.
func New(conf Config, s State) (*Core, error) {
	conf.defaults()
	meta, m := &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{}}, machine.New()
	if s.Snapshot != nil {
		var image io.Reader
		var err error
		if meta, image, err = disk.DecodeSnapshot(s.Name, s.Snapshot); err != nil {
			return nil, err
		}
		if m, err = machine.Restore(image); err != nil {
			return nil, err
		}
	}
	if m.Index() != meta.GetIndex() {
		return nil, fmt.Errorf("store: snapshot %s holds index %d in a file of index %d", s.Name, m.Index(), meta.GetIndex())
	}
	c := &Core{conf: conf, log: raft.NewMemoryStorage(), m: m.Speaking(conf.Format), members: meta.GetConfState(), savedMembers: meta.GetConfState(), applied: meta.GetIndex(),
		pending: map[uint64]wait{}, freshAt: -1, saved: meta.GetIndex(), out: map[uint64]*transfer{}, in: map[uint64]*arrival{},
		caught: map[uint64]int{}, heard: map[uint64]int64{}}
	if s.Snapshot != nil {
		if err := c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
			return nil, fmt.Errorf("store: start from snapshot: %w", err)
		}
	}
	if l := s.Log; l != nil {
		entries := l.Entries
		if len(entries) > 0 && entries[0].GetIndex() != meta.GetIndex()+1 {
			return nil, fmt.Errorf("store: the log begins at entry %d and the snapshot ends at %d", entries[0].GetIndex(), meta.GetIndex())
		}
		if err := c.log.Append(entries); err != nil {
			return nil, fmt.Errorf("store: start from log: %w", err)
		}
		hard := proto.Clone(l.Hard).(*raftpb.HardState)
		last, _ := c.log.LastIndex()
		if hard.GetCommit() > last {
			return nil, fmt.Errorf("store: the log ends at entry %d, and %d was committed: it has lost its end", last, hard.GetCommit())
		}
		if hard.GetCommit() < meta.GetIndex() {
			hard.Commit = proto.Uint64(meta.GetIndex())
		}
		if hard.GetTerm() < meta.GetTerm() {
			hard.Term = proto.Uint64(meta.GetTerm())
		}
		if err := c.log.SetHardState(hard); err != nil {
			return nil, fmt.Errorf("store: start from hard state: %w", err)
		}
	}
	var err error
	c.raw, err = raft.NewRawNode(&raft.Config{
		ID: conf.ID, ElectionTick: conf.Election, HeartbeatTick: conf.Beat, Storage: c.log, Applied: c.applied,
		MaxSizePerMsg: 512 << 10, MaxInflightMsgs: 64, MaxInflightBytes: 8 << 20, MaxUncommittedEntriesSize: 32 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: conf.Log, StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("store: start raft: %w", err)
	}
	return c, nil
}

// Founding returns the encoded snapshot that the first members of a new cluster start from: the same bytes at each.
func Founding(voters []uint64, records []machine.Op) ([]byte, error) {
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
	return Encode(&Save{&raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: voters}}, m.Image()})
}

// Encode gives a snapshot its form on the disk and between instances.
func Encode(s *Save) ([]byte, error) {
	var b writer
	err := disk.EncodeSnapshot(&b, s.Meta, s.Image.Write)
	return b, err
}

type writer []byte

func (w *writer) Write(b []byte) (int, error) { *w = append(*w, b...); return len(b), nil }

var _ io.Writer = (*writer)(nil)

// Machine is the state, for reads on the owner's goroutine.
func (c *Core) Machine() *machine.Machine { return c.m }

// Tick passes one unit of time.
func (c *Core) Tick() {
	c.now++
	c.raw.Tick()
	c.expire()
	c.pump()
	c.policy()
}

// Step takes a message.
func (c *Core) Step(e Envelope) {
	c.heard[e.From] = c.now
	switch {
	case e.Piece != nil:
		c.piece(e.From, e.Piece)
	case e.Got != nil:
		c.got(e.From, e.Got)
	case e.Raft != nil:
		if raft.IsLocalMsg(e.Raft.GetType()) || e.Raft.GetType() == raftpb.MsgSnap || e.Raft.GetFrom() != e.From {
			return // a peer that says what only this instance may say
		}
		_ = c.raw.Step(e.Raft) // an error says only that the message came too late
	}
}

// mark returns a number that no other proposal or read has, in this life or another.
func (c *Core) mark() uint64 {
	c.serial++
	return c.conf.Nonce ^ c.serial*0x9e3779b97f4a7c15
}

// Propose has a command applied and answers the token with its result.
func (c *Core) Propose(token uint64, cmd *machine.Command) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	if c.lead == raft.None {
		c.answer(token, ErrNoLeader, machine.Result{})
		return
	}
	if len(c.queue) >= 8*c.conf.MaxBatch {
		c.answer(token, ErrBusy, machine.Result{})
		return
	}
	if b := c.enter(token, cmd); b != nil {
		c.queue = append(c.queue, &raftpb.Entry{Data: b})
	}
}

// enter encodes a command and waits for its result; nil if it cannot be encoded, which is answered.
func (c *Core) enter(token uint64, cmd *machine.Command) []byte {
	cmd.Request = c.mark()
	b, err := machine.Encode(cmd)
	if err != nil {
		c.answer(token, err, machine.Result{})
		return nil
	}
	c.pending[cmd.Request] = wait{token, c.serial, c.now + int64(c.conf.Patience)}
	return b
}

// Read answers the token when the state here holds all that was answered anywhere before the call.
func (c *Core) Read(token uint64) {
	if c.halted != nil {
		c.answer(token, c.halted, machine.Result{})
		return
	}
	c.reads = append(c.reads, token)
}

// Change proposes a change of the members with a command that notes it.
func (c *Core) Change(token uint64, change *raftpb.ConfChangeV2, cmd *machine.Command) {
	if c.lead == raft.None {
		c.answer(token, ErrNoLeader, machine.Result{})
		return
	}
	if change.Context = c.enter(token, cmd); change.Context == nil {
		return
	}
	if err := c.raw.ProposeConfChange(change); err != nil {
		delete(c.pending, cmd.Request)
		c.answer(token, ErrNoLeader, machine.Result{})
	}
}

// Transfer asks the leader, if this instance is it, to hand over: before a planned stop, or with a full disk.
func (c *Core) Transfer() (to uint64, ok bool) {
	if !c.Leads() {
		return 0, false
	}
	best, match := uint64(0), uint64(0)
	c.raw.WithProgress(func(id uint64, typ raft.ProgressType, pr progress) {
		if id != c.conf.ID && typ == raft.ProgressTypePeer && c.active(id) && pr.Match >= match {
			best, match = id, pr.Match
		}
	})
	if best == 0 {
		return 0, false
	}
	c.transferringTo = best
	c.raw.TransferLeader(best)
	return best, true
}

// Leader is the instance that is taken for the leader; 0: none.
func (c *Core) Leader() uint64 { return c.lead }

// MembersVersion grows when what is noted of the members may have changed.
func (c *Core) MembersVersion() uint64 { return c.memberVersion }

// Leads tells whether this instance is the leader.
func (c *Core) Leads() bool {
	return c.lead == c.conf.ID && c.raw.BasicStatus().RaftState == raft.StateLeader
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
	for len(c.queue) > 0 {
		n := min(len(c.queue), c.conf.MaxBatch)
		err := c.raw.Step(&raftpb.Message{Type: raftpb.MsgProp.Enum(), From: proto.Uint64(c.conf.ID), Entries: c.queue[:n:n]})
		if err != nil { // dropped whole: nothing of it was done
			for _, e := range c.queue[:n] {
				if cmd, bad := machine.Decode(e.GetData(), c.conf.Format); bad == nil {
					c.answer(c.pending[cmd.Request].token, ErrNoLeader, machine.Result{})
					delete(c.pending, cmd.Request)
				}
			}
		}
		c.queue = c.queue[n:]
	}
	c.queue = nil
	if len(c.reads) > 0 && c.lead != raft.None {
		c.ask(c.reads)
		c.reads = nil
	}
}

// Next returns the work that is to be done, or nil.
func (c *Core) Next() *Work {
	c.flush()
	if !c.raw.HasReady() {
		if len(c.envelopes) == 0 {
			return nil
		}
		w := &Work{Early: c.envelopes}
		c.envelopes = nil
		return w
	}
	rd := c.raw.Ready()
	w := &Work{Entries: rd.Entries, ready: rd, raft: true, Early: c.envelopes}
	c.envelopes = nil
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		w.Hard = rd.HardState
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		w.Install, w.Snap = rd.Snapshot.GetData(), rd.Snapshot.GetMetadata()
	}
	if rd.SoftState != nil {
		c.led(rd.SoftState.Lead)
	}
	// A leader may send entries while it writes them itself; all else says what is on the disk.
	early := c.Leads()
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgSnap {
			c.begin(m)
			continue
		}
		e := Envelope{To: m.GetTo(), From: c.conf.ID, Raft: m}
		if early && (m.GetType() == raftpb.MsgApp || m.GetType() == raftpb.MsgHeartbeat) {
			w.Early = append(w.Early, e)
		} else {
			w.Late = append(w.Late, e)
		}
	}
	return w
}

func (c *Core) led(lead uint64) {
	if lead != c.lead {
		c.lead = lead
		c.clockAt, c.transferringTo = c.now, 0
		clear(c.caught)
	}
}

// Done tells that the work was saved and sent. An error is final: the instance may not go on.
func (c *Core) Done(w *Work) error {
	if !w.raft {
		return nil
	}
	rd := w.ready
	if w.Snap != nil {
		meta, image, err := disk.DecodeSnapshot("a snapshot that was sent", w.Install)
		if err != nil {
			return err
		}
		m, err := machine.Restore(image)
		if err != nil {
			return err
		}
		if err := c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
			return fmt.Errorf("store: install snapshot: %w", err)
		}
		c.m, c.members, c.applied, c.saved = m.Speaking(c.conf.Format), meta.GetConfState(), meta.GetIndex(), meta.GetIndex()
		c.savedMembers = meta.GetConfState()
		c.memberVersion++
	}
	if w.Hard != nil {
		if err := c.log.SetHardState(w.Hard); err != nil {
			return fmt.Errorf("store: note hard state: %w", err)
		}
	}
	if err := c.log.Append(rd.Entries); err != nil {
		return fmt.Errorf("store: note entries: %w", err)
	}
	for _, e := range rd.CommittedEntries {
		c.apply(e)
	}
	for _, rs := range rd.ReadStates {
		c.indexed(rs)
	}
	c.raw.Advance(rd)
	c.readReached()
	return nil
}

// apply applies one committed entry. One that this build does not know stops it for good: raft goes on, so that
// the others keep their quorum, but nothing is applied, proposed or read here any more.
func (c *Core) apply(e *raftpb.Entry) {
	if e.GetType() == raftpb.EntryConfChangeV2 || e.GetType() == raftpb.EntryConfChange {
		c.change(e)
		return
	}
	if c.halted != nil {
		return
	}
	if len(e.GetData()) == 0 {
		c.m.Skip(e.GetIndex())
	} else {
		c.run(e.GetIndex(), e.GetData())
	}
	c.did(e)
}

// did notes that an entry was applied.
func (c *Core) did(e *raftpb.Entry) {
	if c.halted != nil {
		return
	}
	c.applied = e.GetIndex()
	if c.conf.Observe != nil {
		c.conf.Observe(c.applied, e.GetTerm(), c.m.Chain())
	}
}

func (c *Core) run(index uint64, data []byte) {
	res, cmd, err := c.m.Apply(index, data)
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
	c.giveUp(func(wait) bool { return true })
	for _, r := range c.reached {
		c.refuse(r.token, err)
	}
	c.reached = nil
}

func (c *Core) change(e *raftpb.Entry) {
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
	c.members = c.raw.ApplyConfChange(cc)
	if c.halted != nil {
		return
	}
	if len(cc.GetContext()) > 0 {
		c.run(e.GetIndex(), cc.GetContext())
	} else {
		c.m.Skip(e.GetIndex())
	}
	c.did(e)
	for id := range c.out { // a transfer to one that was removed leads nowhere
		if !has(c.members, id) {
			delete(c.out, id)
		}
	}
}

func has(s *raftpb.ConfState, id uint64) bool {
	return slices.Contains(s.GetVoters(), id) || slices.Contains(s.GetLearners(), id) ||
		slices.Contains(s.GetVotersOutgoing(), id) || slices.Contains(s.GetLearnersNext(), id)
}

// Due returns a snapshot that is to be written now, or nil.
func (c *Core) Due(force bool) *Save {
	if c.saving != 0 || c.halted != nil || c.applied == c.saved || !force && !c.force && c.applied-c.saved < c.conf.Every {
		return nil
	}
	s := c.Frozen()
	if s != nil {
		c.saving = c.applied
	}
	return s
}

// Frozen returns the present state as a snapshot, for a backup; nil if nothing was applied yet.
func (c *Core) Frozen() *Save {
	term, err := c.log.Term(c.applied)
	if err != nil || c.applied == 0 || c.halted != nil {
		return nil
	}
	return &Save{&raftpb.SnapshotMetadata{Index: proto.Uint64(c.applied), Term: proto.Uint64(term), ConfState: c.members}, c.m.Image()}
}

// Saved tells that a snapshot was written, or could not be, and returns the index up to which the log may go.
func (c *Core) Saved(s *Save, err error) (release uint64) {
	index := s.Meta.GetIndex()
	if c.saving == index {
		c.saving = 0
	}
	if err != nil || index <= c.saved {
		return 0
	}
	if _, err := c.log.CreateSnapshot(index, s.Meta.GetConfState(), nil); err != nil {
		return 0
	}
	c.saved, c.savedMembers, c.force = index, s.Meta.GetConfState(), false
	if index <= c.conf.Keep {
		return 0
	}
	release = index - c.conf.Keep
	if err := c.log.Compact(release); err != nil {
		return 0
	}
	return release
}

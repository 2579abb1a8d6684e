package core

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// Defaults of Config.
const (
	defaultElectionTicks        = 10
	defaultHeartbeatTicks       = 1
	defaultTickMS               = 100
	defaultSnapshotInterval     = 20000
	defaultRetainedEntries      = 5000
	defaultTimeoutTicks         = 50
	defaultChunkSize            = 64 << 10
	defaultSnapshotBytesPerTick = 1 << 20
	defaultMaxBatch             = 512
)

// Flow control limits passed to raft: how much may be in flight to one follower, and uncommitted at the leader.
const (
	maxMessageSize     = 512 << 10 // bytes
	maxInflightMsgs    = 64
	maxInflightBytes   = 8 << 20  // bytes
	maxUncommittedSize = 32 << 20 // bytes
)

// Config configures one instance. Zero values are replaced by defaults.
type Config struct {
	ID                   uint64
	Nonce                uint64 // new with each start: request ids of an earlier incarnation are never reused
	ElectionTicks        int    // ticks without a leader before an election
	HeartbeatTicks       int    // ticks between heartbeats
	TickMS               int64  // milliseconds of logical time in a tick
	SnapshotInterval     uint64 // entries between snapshots
	RetainedEntries      uint64 // entries before a snapshot that are retained for slow followers
	TimeoutTicks         int    // ticks that a proposal may wait for its outcome
	ChunkSize            int    // bytes of a snapshot in one message
	SnapshotBytesPerTick int    // bytes of snapshots sent in a tick, by all transfers combined
	MaxBatch             int    // proposals passed to raft at once
	Logger               raft.Logger
	Format               uint8                           // newest format of commands that this build supports
	Observe              func(index, term, chain uint64) // called with each applied entry; for checks, may be nil
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.TickMS, defaultTickMS)
	setDefault(&c.SnapshotInterval, defaultSnapshotInterval)
	setDefault(&c.RetainedEntries, defaultRetainedEntries)
	setDefault(&c.TimeoutTicks, defaultTimeoutTicks)
	setDefault(&c.ChunkSize, defaultChunkSize)
	setDefault(&c.SnapshotBytesPerTick, defaultSnapshotBytesPerTick)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.Format, machine.Format)
}

func setDefault[T int | int64 | uint64 | uint8](value *T, to T) {
	if *value == 0 {
		*value = to
	}
}

// InitialState is the durable state that an instance starts from.
type InitialState struct {
	Snapshot     []byte // encoded; nil for an instance that has joined and has not received a snapshot yet
	SnapshotName string // for error messages
	Log          *disk.Loaded
}

// New returns an instance with the given state. The error is a *disk.CorruptError for a damaged snapshot, and wraps
// machine.ErrUnknownRecord for a snapshot of a newer build. Any other error states how snapshot and log contradict each
// other.
func New(conf Config, initial InitialState) (*Core, error) {
	conf.setDefaults()
	meta, state, err := initial.restore()
	if err != nil {
		return nil, err
	}
	c := &Core{
		conf:            conf,
		storage:         raft.NewMemoryStorage(),
		machine:         state.WithFormat(conf.Format),
		confState:       meta.GetConfState(),
		applied:         meta.GetIndex(),
		upToDateAt:      -1,
		pending:         map[uint64]pendingProposal{},
		caughtUpChecks:  map[uint64]int{},
		lastMessageAt:   map[uint64]int64{},
		snapshotIndex:   meta.GetIndex(),
		snapshotMembers: meta.GetConfState(),
		outgoing:        map[uint64]*outgoingTransfer{},
		incoming:        map[uint64]*incomingTransfer{},
	}
	if initial.Snapshot != nil {
		if err := c.storage.ApplySnapshot(&raftpb.Snapshot{Metadata: meta}); err != nil {
			return nil, fmt.Errorf("store: start from snapshot: %w", err)
		}
	}
	if initial.Log != nil {
		if err := c.loadLog(initial.Log, meta); err != nil {
			return nil, err
		}
	}
	c.raftNode, err = raft.NewRawNode(&raft.Config{
		ID:                        conf.ID,
		ElectionTick:              conf.ElectionTicks,
		HeartbeatTick:             conf.HeartbeatTicks,
		Storage:                   c.storage,
		Applied:                   c.applied,
		MaxSizePerMsg:             maxMessageSize,
		MaxInflightMsgs:           maxInflightMsgs,
		MaxInflightBytes:          maxInflightBytes,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    conf.Logger,
		StepDownOnRemoval:         true,
	})
	if err != nil {
		return nil, fmt.Errorf("store: start raft: %w", err)
	}
	return c, nil
}

// restore decodes the snapshot. Without one, the metadata and the state are empty.
func (s *InitialState) restore() (*raftpb.SnapshotMetadata, *machine.Machine, error) {
	if s.Snapshot == nil {
		return &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{}}, machine.New(), nil
	}
	meta, state, err := decodeSnapshot(s.SnapshotName, s.Snapshot)
	if err != nil {
		return nil, nil, err
	}
	if state.Index() != meta.GetIndex() {
		return nil, nil, fmt.Errorf("store: snapshot %s is inconsistent: its state ends at index %d, its metadata states index %d",
			s.SnapshotName, state.Index(), meta.GetIndex())
	}
	return meta, state, nil
}

// loadLog passes the entries and the hard state that were read from disk to raft's storage.
func (c *Core) loadLog(log *disk.Loaded, meta *raftpb.SnapshotMetadata) error {
	if len(log.Entries) > 0 && log.Entries[0].GetIndex() != meta.GetIndex()+1 {
		return fmt.Errorf("store: the log begins at entry %d, but the snapshot ends at entry %d: the log must begin at the next one",
			log.Entries[0].GetIndex(), meta.GetIndex())
	}
	if err := c.storage.Append(log.Entries); err != nil {
		return fmt.Errorf("store: start from log: %w", err)
	}
	last, err := c.storage.LastIndex()
	if err != nil {
		return fmt.Errorf("store: start from log: %w", err)
	}
	if commit := log.HardState.GetCommit(); commit > last {
		return fmt.Errorf("store: the log ends at entry %d, but entry %d was committed: entries at the end of the log were lost", last, commit)
	}
	hard := proto.CloneOf(log.HardState)
	if hard.GetCommit() < meta.GetIndex() {
		hard.Commit = new(meta.GetIndex())
	}
	if hard.GetTerm() < meta.GetTerm() {
		hard.Term = new(meta.GetTerm())
	}
	if err := c.storage.SetHardState(hard); err != nil {
		return fmt.Errorf("store: start from hard state: %w", err)
	}
	return nil
}

// InitialSnapshot returns the encoded snapshot that the first members of a new cluster start from: the same bytes at
// each of them.
func InitialSnapshot(voters []uint64, records []machine.Op) ([]byte, error) {
	command, err := machine.Encode(&machine.Command{Kind: machine.TransactionKind, Then: records})
	if err != nil {
		return nil, err
	}
	state := machine.New()
	result, _, err := state.Apply(1, command)
	if err != nil {
		return nil, err
	}
	if result.Code != machine.OK {
		return nil, fmt.Errorf("store: create the initial snapshot: %s", result.Code)
	}
	meta := &raftpb.SnapshotMetadata{
		Index:     proto.Uint64(1),
		Term:      proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))},
	}
	return EncodeSnapshot(&Snapshot{meta, state.Image()})
}

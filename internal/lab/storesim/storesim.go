// Package storesim simulates complete clusters of the store on one goroutine, with a simulated network, disks and clock.
// The instances run the daemon's code. The same seed gives the same run, much faster than real time.
package storesim

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

// Options of a run.
type Options struct {
	Seed        uint64
	Instances   int
	Seconds     int  // of simulated time under faults
	LoseSyncs   bool // deliberate defect: syncs have no effect; the checks must report it
	ResendAsNew bool // deliberate defect: clients retry outside their session, as new commands; the checks must report it
	Trace       io.Writer
}

// Result of a run.
type Result struct {
	Steps, Acknowledged, Elections, SnapshotInstalls, Replacements, Crashes, CorruptDisks int
	Violations                                                                            []string

	Hash uint64 // of starts, applied entries and final states
}

// Times are microseconds of simulated time.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

const (
	defaultInstances = 3
	defaultSeconds   = 20
	clientCount      = 3
	settleTime       = 40 * second // without faults, at the end

	clusterID         = 7
	replacementIDBase = 100 // the ids of instances that replace others follow this one
	segmentSize       = 8 << 10
)

// direction is the one-way network link from one instance to another, by their indexes.
type direction struct{ from, to int }

type simulation struct {
	Options
	random      *rand.Rand
	now         int64
	lastSerial  int64
	events      eventQueue
	instances   []*instance
	cut         map[direction]bool
	faultsEnded bool // no more faults are injected
	result      Result
	hash        *xxhash.Digest
	logger      raft.Logger

	// State of the checks.
	leaders        map[uint64]uint64       // leader's id by term
	applied        map[uint64]appliedEntry // by index
	commits        map[uint64]uint64       // commit index by instance id
	highestApplied uint64
	acknowledged   map[string]int // number of acknowledged writes by key

	lastID       uint64                       // the last id given to a replacement
	lastNonce    uint64                       // the last nonce given to a process
	pendingCalls map[uint64]func(core.Answer) // callbacks of proposals and reads without an answer, by token
	lastToken    uint64
}

// Run simulates one seed. raft draws its election timeouts from crypto/rand. For a reproducible run the caller first sets
// rand.Reader to SeededBytes(seed), in a program that uses rand.Reader for nothing else.
func Run(options Options) Result {
	if options.Instances == 0 {
		options.Instances = defaultInstances
	}
	if options.Seconds == 0 {
		options.Seconds = defaultSeconds
	}
	s := newSimulation(options)
	s.createCluster()
	for i := range s.instances {
		s.start(i)
	}
	for number := range clientCount {
		added := &client{simulation: s, number: number}
		s.schedule(millisecond*int64(500+s.random.IntN(500)), added.nextWrite)
	}
	s.scheduleFaults()
	s.runUntil(int64(options.Seconds) * second)
	s.endFaults()
	s.runUntil(s.now + settleTime)
	s.checkAcknowledged()
	s.result.Hash = s.hash.Sum64()
	return s.result
}

func newSimulation(options Options) *simulation {
	return &simulation{
		Options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, simulationStream)),
		cut:          map[direction]bool{},
		hash:         xxhash.New(),
		logger:       discardLogger{},
		leaders:      map[uint64]uint64{},
		applied:      map[uint64]appliedEntry{},
		commits:      map[uint64]uint64{},
		acknowledged: map[string]int{},
		lastID:       replacementIDBase,
		lastNonce:    options.Seed << 20,
		pendingCalls: map[uint64]func(core.Answer){},
	}
}

// createCluster creates the instances and writes the initial snapshot to their disks.
func (s *simulation) createCluster() {
	var voters []uint64
	var records []machine.Op
	for i := range s.Instances {
		added := &instance{
			simulation: s, name: "n" + strconv.Itoa(i), id: uint64(i + 1), disk: newDisk(s.random),
			tickInterval: normalTick,
		}
		s.instances = append(s.instances, added)
		voters = append(voters, added.id)
		record, err := core.MemberOp(added.id, core.Member{Name: added.name, Format: machine.Format})
		if err != nil {
			s.addViolation("founding: %v", err)
		}
		records = append(records, record)
	}
	first, err := core.InitialSnapshot(voters, records)
	for _, voter := range s.instances {
		if err == nil {
			identity := disk.Identity{Cluster: clusterID, Node: voter.id, Name: voter.name, Voters: voters}
			err = disk.Create(voter.disk, identity, 1, first, s.logOptions())
		}
		voter.disk.ignoreSyncs = s.LoseSyncs
		voter.joined = true
	}
	if err != nil {
		s.addViolation("founding: %v", err)
	}
}

func (s *simulation) logOptions() disk.Options { return disk.Options{SegmentSize: segmentSize} }

// trace writes a line with the simulated time in seconds to Options.Trace, if that is set.
func (s *simulation) trace(format string, args ...any) {
	if s.Trace == nil {
		return
	}
	line := fmt.Sprintf("%9.3f ", float64(s.now)/1e6) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.Trace, line) // an error of the trace does not affect the run
}

// hashEvent adds an event to the hash of the run.
func (s *simulation) hashEvent(kind byte, a, b uint64) {
	var record [25]byte
	record[0] = kind
	binary.LittleEndian.PutUint64(record[1:], uint64(s.now))
	binary.LittleEndian.PutUint64(record[9:], a)
	binary.LittleEndian.PutUint64(record[17:], b)
	_, _ = s.hash.Write(record[:]) // a hash's Write never returns an error
}

package chaos

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// operationKind is the type of an operation on a register.
type operationKind int

const (
	readRegister operationKind = iota
	writeRegister
	compareAndSetRegister // a conditional write: it takes effect only if the register has the expected value
)

// operation is an operation of a client with its outcome. Times are relative to the start of the operations.
type operation struct {
	client               int
	kind                 operationKind
	register             string
	uniqueKey            string // a key unique to this operation, written in the same transaction; empty for a read
	expected, value      string
	calledAt, returnedAt time.Duration

	answered bool   // an answer arrived
	read     string // value returned by a read
	applied  bool   // the write took effect
}

// neverReturned is the return time of a write without an answer, which may take effect at any time after its call.
const neverReturned = time.Duration(math.MaxInt64 / 8)

// history records the operations of all clients. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	operations   []porcupine.Operation
	count        int
	unknown      int
	acknowledged int
	appliedKeys  map[string]bool // unique keys of the acknowledged writes that took effect
	lastSuccess  time.Time
	longestGap   time.Duration // longest time between two successful operations
}

func newHistory(start time.Time) *history {
	return &history{appliedKeys: map[string]bool{}, lastSuccess: start}
}

// add records an operation. A read without an answer is left out, because it constrains no order.
func (h *history) add(o *operation, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	if err != nil {
		h.unknown++
		if o.kind == readRegister {
			return
		}
		o.returnedAt = neverReturned
	} else {
		h.addSuccess(o)
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: o.client, Input: o, Call: int64(o.calledAt), Output: o, Return: int64(o.returnedAt),
	})
}

func (h *history) addSuccess(o *operation) {
	now := time.Now()
	h.longestGap = max(h.longestGap, now.Sub(h.lastSuccess))
	h.lastSuccess = now
	if o.kind == readRegister {
		return
	}
	h.acknowledged++
	if o.applied {
		h.appliedKeys[o.uniqueKey] = true
	}
}

// linearizable reports whether some order of the operations explains all answers. It returns false if the search for one
// exceeds the timeout.
func (h *history) linearizable(timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations, timeout) == porcupine.Ok
}

// registerModel is the specification for the linearizability check: independent registers, which are empty at first.
var registerModel = porcupine.Model{
	Partition: partitionByRegister,
	Init:      func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		return input.(*operation).step(state.(string))
	},
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether the operation's outcome is possible if the register has the given value, and returns the value
// afterwards.
func (o *operation) step(value string) (possible bool, after string) {
	switch {
	case o.kind == readRegister:
		return o.read == value, value
	case o.kind == writeRegister:
		return true, o.value
	case value != o.expected:
		return !o.answered || !o.applied, value
	default:
		return !o.answered || o.applied, o.value
	}
}

func partitionByRegister(history []porcupine.Operation) [][]porcupine.Operation {
	var registers []string
	byRegister := map[string][]porcupine.Operation{}
	for _, recorded := range history {
		register := recorded.Input.(*operation).register
		if byRegister[register] == nil {
			registers = append(registers, register)
		}
		byRegister[register] = append(byRegister[register], recorded)
	}
	var parts [][]porcupine.Operation
	for _, register := range registers {
		parts = append(parts, byRegister[register])
	}
	return parts
}

package chaos

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// operationKind is what an operation does with a register.
type operationKind int

const (
	readRegister operationKind = iota
	writeRegister
	changeRegister // writes if the register has the expected value
)

// operation is an operation of a client, with its outcome. Times count from the start of the operations.
type operation struct {
	client          int
	kind            operationKind
	register        string
	ownKey          string // a key of its own that the same transaction writes; empty for a read
	expected, value string
	call, returned  time.Duration

	known bool   // there was an answer
	read  string // the value of a read
	done  bool   // the write took place
}

// neverReturned is the return time of a write without an answer: it may take effect at any time from its call on.
const neverReturned = time.Duration(math.MaxInt64 / 8)

// history records the operations of all clients. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	operations   []porcupine.Operation
	count        int
	unknown      int
	acknowledged int
	written      map[string]bool // own keys of writes that were acknowledged
	lastSuccess  time.Time
	longestGap   time.Duration // between successes
}

func newHistory(start time.Time) *history {
	return &history{written: map[string]bool{}, lastSuccess: start}
}

// add records an operation. A read without an answer constrains no order and is left out.
func (h *history) add(o *operation, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	if err != nil {
		h.unknown++
		if o.kind == readRegister {
			return
		}
		o.returned = neverReturned
	} else {
		h.addSuccess(o)
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: o.client, Input: o, Call: int64(o.call), Output: o, Return: int64(o.returned),
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
	if o.done {
		h.written[o.ownKey] = true
	}
}

// linearizable reports whether there is an order of the operations that explains all answers.
func (h *history) linearizable(timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations, timeout) == porcupine.Ok
}

// registerModel is the specification that the history is checked against: registers that are independent of each other.
var registerModel = porcupine.Model{
	Partition: partitionByRegister,
	Init:      func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		return input.(*operation).step(state.(string))
	},
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether the operation's outcome is possible with a register of the value, and the value after it.
func (o *operation) step(value string) (possible bool, after string) {
	switch {
	case o.kind == readRegister:
		return o.read == value, value
	case o.kind == writeRegister:
		return true, o.value
	case value != o.expected:
		return !o.known || !o.done, value
	default:
		return !o.known || o.done, o.value
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

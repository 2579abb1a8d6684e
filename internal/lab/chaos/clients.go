package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/machine"
)

const (
	clientCount   = 6
	registerCount = 4
	// registerLifetime is how long registers are used before clients switch to new ones. It is short, so that few operations
	// are concurrent with a write of unknown outcome, which stays concurrent with all later operations on its register.
	registerLifetime = 2 * time.Second
	namespace        = "rehearsal"
	uniqueKeyPrefix  = "own/" // prefix of keys that are written once each
	attemptTimeout   = 700 * time.Millisecond
	operationTimeout = 4 * time.Second
	clientStreams    = 100 // first random stream of the clients: client n uses stream clientStreams+n
)

// storeClient is a client of the store. It reads registers and writes them, with or without a condition. Each of its writes
// also puts a key that is unique to the write, in the same transaction.
type storeClient struct {
	number   int
	store    *client.Client
	random   *rand.Rand
	lastRead map[string]string // last value read, by register
}

func (r *chaosRun) runClient(ctx context.Context, number int) {
	store, err := r.cluster.client(number, false, attemptTimeout)
	if err != nil {
		return // then no write is acknowledged, which Result.Passed reports as a failure
	}
	defer store.Close()
	c := &storeClient{
		number: number, store: store, lastRead: map[string]string{},
		random: rand.New(rand.NewPCG(r.options.Seed, uint64(clientStreams+number))),
	}
	for n := 0; ctx.Err() == nil; n++ {
		operation := c.drawOperation(n, time.Since(r.start))
		operation.calledAt = time.Since(r.start)
		err := c.execute(ctx, operation)
		operation.returnedAt = time.Since(r.start)
		r.history.add(operation, err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1+c.random.IntN(4)) * time.Millisecond):
		}
	}
}

// drawOperation draws the n-th operation. On average two of five are writes, one is a conditional write and two are reads.
func (c *storeClient) drawOperation(n int, elapsed time.Duration) *operation {
	register := fmt.Sprintf("register/%d/%d", elapsed/registerLifetime, c.random.IntN(registerCount))
	value := fmt.Sprintf("%d.%d", c.number, n)
	drawn := &operation{client: c.number, register: register, kind: readRegister}
	switch c.random.IntN(5) {
	case 0, 1:
		drawn.kind = writeRegister
		drawn.value = value
	case 2:
		drawn.kind = compareAndSetRegister
		drawn.expected = c.lastRead[register]
		drawn.value = value
	}
	if drawn.kind != readRegister {
		drawn.uniqueKey = fmt.Sprintf("%s%d/%d", uniqueKeyPrefix, c.number, n)
	}
	return drawn
}

// execute sends an operation and records its outcome in o. It completes the operation even if ctx ends meanwhile.
func (c *storeClient) execute(ctx context.Context, o *operation) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operationTimeout)
	defer cancel()
	if o.kind == readRegister {
		entry, _, _, err := c.store.Get(ctx, namespace, o.register, false)
		if err != nil {
			return err
		}
		o.read = string(entry.Value)
		c.lastRead[o.register] = o.read
		o.answered = true
		return nil
	}
	result, err := c.store.Transact(ctx, o.transaction())
	if err != nil {
		return err
	}
	o.applied = result.Holds
	o.answered = true
	return nil
}

// transaction returns the command that writes the register and the operation's unique key if its condition holds.
func (o *operation) transaction() machine.Command {
	value := []byte(o.value)
	command := machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{
		{Kind: machine.Put, NS: namespace, Key: o.register, Value: value},
		{Kind: machine.Put, NS: namespace, Key: o.uniqueKey, Value: value},
	}}
	if o.kind != compareAndSetRegister {
		return command
	}
	condition := machine.Compare{
		NS: namespace, Key: o.register, Target: machine.Value, Value: []byte(o.expected),
	}
	if o.expected == "" { // the register does not exist yet
		condition = machine.Compare{NS: namespace, Key: o.register, Target: machine.Version}
	}
	command.If = []machine.Compare{condition}
	return command
}

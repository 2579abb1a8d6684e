package node

import (
	"context"
	"fmt"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

// await returns the next result, or an error once the context or the instance ends. An error ends only the wait: the
// operation whose result is awaited goes on.
func await[T any](ctx context.Context, n *Node, results <-chan T) (T, error) {
	var none T
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.ended:
		return none, ErrStopped
	}
}

// registerCallback registers done for the answer to a new token, and returns the token. Only the owner calls it; done
// runs on the owner's goroutine.
func (n *Node) registerCallback(done func(core.Answer)) (token uint64) {
	n.lastToken++
	n.callbacks[n.lastToken] = done
	return n.lastToken
}

// propose does the work of Propose on the owner's goroutine.
func (n *Node) propose(command *machine.Command, done func(core.Answer)) {
	if n.stalledWork != nil {
		done(core.Answer{Err: fmt.Errorf("%w: the disk of this instance is full", core.ErrNoLeader)})
		return
	}
	n.core.Propose(n.registerCallback(done), command)
}

// Propose replicates a command and returns the result of applying it. When the context ends first, the command may
// still be applied, and the error wraps core.ErrOutcomeUnknown. The other errors are those of core.Core.Propose and
// ErrStopped. It is safe for concurrent use.
func (n *Node) Propose(ctx context.Context, command *machine.Command) (machine.Result, error) {
	answers := make(chan core.Answer, 1)
	posted := n.post(func() {
		n.propose(command, func(answer core.Answer) { answers <- answer })
	})
	if !posted {
		return machine.Result{}, ErrStopped
	}
	select {
	case answer := <-answers:
		return answer.Result, answer.Err
	case <-ctx.Done():
		return machine.Result{}, fmt.Errorf("%w: %w", core.ErrOutcomeUnknown, ctx.Err())
	case <-n.ended:
		return machine.Result{}, ErrStopped
	}
}

// Read calls inspect with the state. If stale is set, that is the local state as it is; otherwise the read is
// linearizable. Read returns an upper bound on how far the state is behind; negative: unknown. inspect runs on the owner's
// goroutine and must not retain the machine. Read is safe for concurrent use.
func (n *Node) Read(ctx context.Context, stale bool, inspect func(*machine.Machine)) (time.Duration, error) {
	type outcome struct {
		staleness time.Duration
		err       error
	}
	outcomes := make(chan outcome, 1)
	posted := n.post(func() {
		n.read(stale, inspect, func(staleness time.Duration, err error) { outcomes <- outcome{staleness, err} })
	})
	if !posted {
		return 0, ErrStopped
	}
	result, err := await(ctx, n, outcomes)
	if err != nil {
		return 0, err
	}
	return result.staleness, result.err
}

// read does the work of Read on the owner's goroutine. It calls done exactly once unless the instance ends.
func (n *Node) read(stale bool, inspect func(*machine.Machine), done func(time.Duration, error)) {
	if stale {
		staleness := n.staleness()
		inspect(n.core.Machine())
		done(staleness, nil)
		return
	}
	if n.stalledWork != nil {
		done(0, core.ErrNoLeader)
		return
	}
	token := n.registerCallback(func(answer core.Answer) {
		if answer.Err == nil {
			inspect(n.core.Machine())
		}
		done(0, answer.Err)
	})
	n.core.Read(token)
}

// staleness returns an upper bound on how far the local state is behind; negative: unknown.
func (n *Node) staleness() time.Duration {
	ticks, known := n.core.Staleness()
	if !known {
		return -1
	}
	return time.Duration(ticks) * n.conf.Tick
}

// Status is a summary of an instance, for operators.
type Status struct {
	core.Status
	Name        string                 `json:"name"`
	Cluster     string                 `json:"cluster"`
	Members     map[string]core.Member `json:"members"` // by core.MemberKey
	StalenessMS int64                  `json:"age_ms"`  // upper bound on how far its state is behind; -1: unknown
	DiskFull    bool                   `json:"disk_full,omitempty"`
	Segments    int                    `json:"log_segments"`
	Clients     int64                  `json:"clients"` // connections of clients and other instances
}

// Status returns a summary of the instance. It is safe for concurrent use.
func (n *Node) Status(ctx context.Context) (Status, error) {
	statuses := make(chan Status, 1)
	if !n.post(func() { statuses <- n.status() }) {
		return Status{}, ErrStopped
	}
	return await(ctx, n, statuses)
}

func (n *Node) status() Status {
	status := Status{
		Status:      n.core.Status(),
		Name:        n.conf.Name,
		Cluster:     fmt.Sprintf("%016x", n.store.Identity.Cluster),
		Members:     map[string]core.Member{},
		StalenessMS: -1,
		DiskFull:    n.stalledWork != nil,
		Segments:    n.store.Log.Segments(),
		Clients:     n.connections.Load(),
	}
	if status.StalenessTicks >= 0 {
		status.StalenessMS = status.StalenessTicks * n.conf.Tick.Milliseconds()
	}
	for id, member := range core.Members(n.core.Machine()) {
		status.Members[core.MemberKey(id)] = member
	}
	return status
}

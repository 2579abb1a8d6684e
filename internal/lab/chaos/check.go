package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

const (
	linearizabilityTimeout = time.Minute
	convergenceTimeout     = 20 * time.Second
	convergencePoll        = 100 * time.Millisecond
	readStateTimeout       = 5 * time.Second
	readStateAttempt       = 2 * time.Second
	allKeys                = -1
)

// instanceState is the final state of an instance.
type instanceState struct {
	instance   int
	applied    uint64 // index of the last applied entry
	chain      uint64 // hash over all entries up to that index
	uniqueKeys map[string]machine.KV
}

// check fills in the result. It waits until all instances have applied the same entries, and checks that each of them holds
// every acknowledged write.
func (r *chaosRun) check(ctx context.Context) {
	r.result.Operations = r.history.count
	r.result.Unknown = r.history.unknown
	r.result.Acknowledged = r.history.acknowledged
	r.result.LongestUnavailable = r.history.longestGap.Milliseconds()
	r.result.Linearizable = r.history.linearizable(linearizabilityTimeout)
	if !r.result.Linearizable {
		r.result.addFinding("the history of the registers is not linearizable")
	}
	states := r.waitConverged(ctx)
	if !r.result.Converged {
		r.result.addFinding("the instances did not apply the same entries in time: %d of %d answered",
			len(states), len(r.cluster.instances))
	}
	lost := map[string]bool{}
	for _, state := range states {
		if state.applied == states[0].applied && state.chain != states[0].chain {
			r.result.Contradictions++
			r.result.addFinding("n%d applied other entries than the first instance that answered", state.instance)
		}
		r.checkWrites(state, lost)
	}
	r.result.Lost = len(lost)
}

// checkWrites adds the acknowledged writes that are missing on an instance to lost. It reports those that the instance
// executed more than once as contradictions.
func (r *chaosRun) checkWrites(state *instanceState, lost map[string]bool) {
	for key := range r.history.appliedKeys {
		entry, found := state.uniqueKeys[key]
		switch {
		case !found:
			lost[key] = true
			r.result.addFinding("n%d lacks the acknowledged key %s", state.instance, key)
		case entry.Version != 1:
			r.result.Contradictions++
			r.result.addFinding("n%d executed the write of %s %d times, expected once", state.instance, key, entry.Version)
		}
	}
}

// waitConverged waits until all instances have applied entries up to the same index. It returns the states that it read
// last.
func (r *chaosRun) waitConverged(ctx context.Context) []*instanceState {
	var states []*instanceState
	until := time.Now().Add(convergenceTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		states = r.readStates(ctx)
		if len(states) == len(r.cluster.instances) && sameIndex(states) {
			r.result.Converged = true
			return states
		}
		if r.cluster.unexpectedExits() > 0 { // an instance that ended is not restarted
			return states
		}
		time.Sleep(convergencePoll)
	}
	return states
}

func sameIndex(states []*instanceState) bool {
	for _, state := range states {
		if state.applied != states[0].applied {
			return false
		}
	}
	return true
}

// readStates returns the states of the instances that answer.
func (r *chaosRun) readStates(ctx context.Context) []*instanceState {
	var states []*instanceState
	for i := range r.cluster.instances {
		state, err := r.readState(ctx, i)
		if err != nil {
			r.options.Log("state of n%d: %v", i, err)
			continue
		}
		states = append(states, state)
	}
	return states
}

// readState reads the state of an instance. The clients have ended, so only the store itself still writes.
func (r *chaosRun) readState(ctx context.Context, i int) (*instanceState, error) {
	ctx, cancel := context.WithTimeout(ctx, readStateTimeout)
	defer cancel()
	store, err := r.cluster.client(i, true, readStateAttempt)
	if err != nil {
		return nil, err
	}
	defer store.Close()
	entries, _, err := store.List(ctx, namespace, uniqueKeyPrefix, allKeys, false)
	if err != nil {
		return nil, err
	}
	status, err := readStatus(ctx, store)
	if err != nil {
		return nil, err
	}
	state := &instanceState{
		instance: i, applied: status.Applied, chain: status.Chain, uniqueKeys: map[string]machine.KV{},
	}
	for _, entry := range entries {
		state.uniqueKeys[entry.Key] = entry
	}
	return state, nil
}

func readStatus(ctx context.Context, store *client.Client) (*core.Status, error) {
	answer, err := store.Call(ctx, &frame.Request{Op: frame.OpStatus}, client.Idempotent)
	if err != nil {
		return nil, err
	}
	status := &core.Status{}
	if err := json.Unmarshal(answer.Body, status); err != nil {
		return nil, fmt.Errorf("decode the status of an instance: %w", err)
	}
	return status, nil
}

package processrig

import (
	"errors"
	"slices"
	"time"

	"cloverrock/internal/lab/emulator"
)

// killTimeout is how long a process may take to end after SIGKILL.
const killTimeout = 5 * time.Second

// evaluate fills in the result of a run from the clients' samples, the hosts' logs and the processes.
func (r *rig) evaluate(samples []emulator.Sample) {
	r.evaluateSamples(samples)
	r.result.Stalls = r.stalls()
	delivered, bytes, lost := r.datagrams.counts()
	connections := r.countConnections()
	r.killGateways()
	requests := float64(max(r.result.Requests, 1))
	r.result.PeerMessages = delivered
	r.result.PeerLost = lost
	r.result.PeerBytes = float64(bytes) / requests
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.CPU = float64(r.endedCPU.Milliseconds()) / requests
	r.result.Spread = measureSpread(r.replicaLogs(), settlingTime, r.Duration)
	r.logIdleHosts()
	r.result.Spread.ConnectionsP50 = connections[len(connections)/2]
	r.result.Spread.ConnectionsMax = connections[len(connections)-1]
	r.result.MaxHerdWindows = int(1.5*r.result.Spread.FairHerdWindows) + 20
	r.result.MaxCV1s = 2 * r.result.Spread.FairCV1s
}

func (r *rig) evaluateSamples(samples []emulator.Sample) {
	var earned, possible float64
	for _, sample := range samples {
		r.result.Requests++
		earned += sample.EarnedWeight()
		possible += sample.Weight()
		r.evaluateSample(sample)
	}
	r.result.InTime = earned / max(possible, 1)
}

func (r *rig) evaluateSample(sample emulator.Sample) {
	rejected := errors.Is(sample.Err, emulator.ErrRejected)
	closed := errors.Is(sample.Err, emulator.ErrNoAnswerOnNewConnection)
	disturbed := r.wasDisturbed(sample)
	answered := sample.Err == nil || rejected
	if answered && sample.Latency > emulator.Classes[sample.Class].Deadline {
		r.result.LateAnswers++
	}
	if closed && !disturbed {
		r.result.ClosedNewConnections++
	}
	switch {
	case sample.Err == nil:
	case rejected && (!closed || !disturbed):
		r.result.Rejected++
	case disturbed:
		r.result.Disturbed++
	default:
		r.result.Lost++
		r.Log("request lost at gateway %d, sent at %v: %v after %v",
			sample.Gateway, sample.At.Sub(r.start), sample.Err, sample.Latency)
		r.logRequest(sample.Gateway, sample.ID)
	}
}

// wasDisturbed reports whether the gateway was stopped, or killed and not yet started again, at any time during the
// request.
func (r *rig) wasDisturbed(sample emulator.Sample) bool {
	request := interval{sample.At, sample.At.Add(sample.Latency)}
	return slices.ContainsFunc(r.gateways[sample.Gateway].disturbed, request.overlaps)
}

// countConnections returns the number of open connections at each host, in ascending order.
func (r *rig) countConnections() []int {
	var connections []int
	for _, host := range r.hosts {
		connections = append(connections, host.Connections())
	}
	slices.Sort(connections)
	return connections
}

// killGateways kills all gateways. It counts the gateways that had already ended, and those that do not end within
// killTimeout.
func (r *rig) killGateways() {
	for _, gateway := range r.gateways {
		if gateway.hasEnded() {
			r.result.EndedByThemselves++
		}
		_ = gateway.command.Process.Kill() // fails only if the process has already ended
		select {
		case <-gateway.ended:
		case <-time.After(killTimeout):
			r.result.StillRunning++
		}
	}
}

// replicaLogs returns the logs of all replicas, each sorted by time. Hosts that are added to the endpoint lists during
// the run are compared only from settlingTime after the last gateway has received the list with them.
func (r *rig) replicaLogs() []hostLog {
	joined := time.Duration(0)
	for _, event := range r.events {
		if event.Fault == Join {
			joined = max(joined, time.Duration(event.AtMS)*time.Millisecond+settlingTime)
		}
	}
	var replicas []hostLog
	for i, log := range r.logs {
		if r.isPrimary(i) {
			continue
		}
		if r.isLastOfGroup(i) {
			log.comparedFrom = joined
		}
		slices.SortFunc(log.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
		replicas = append(replicas, log)
	}
	return replicas
}

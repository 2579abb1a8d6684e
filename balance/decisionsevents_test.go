package balance_test

import (
	"slices"

	"cloverrock/balance"
)

// This file contains the events of the simulation in decisions_test.go. The order of random draws must not
// change.

// sendEndpoints passes a complete or partial endpoint list, or a failed poll.
func (sim *simulation) sendEndpoints(gateway *simulatedGateway) {
	event := balance.Event{
		Kind:       balance.EndpointsEvent,
		Complete:   sim.chance(0.5),
		PollFailed: sim.chance(0.25),
	}
	for _, host := range sim.hosts {
		if event.Complete && sim.chance(0.97) || sim.chance(0.3) {
			event.Endpoints = append(event.Endpoints, host.endpoint)
		}
	}
	sim.handle(gateway, event)
}

func (sim *simulation) sendAllEndpoints(gateway *simulatedGateway) {
	event := balance.Event{Kind: balance.EndpointsEvent, Complete: true}
	for _, host := range sim.hosts {
		event.Endpoints = append(event.Endpoints, host.endpoint)
	}
	sim.handle(gateway, event)
}

func (sim *simulation) sendRequest(gateway *simulatedGateway) {
	sim.requests++
	event := balance.Event{
		Kind:       balance.RequestEvent,
		Request:    sim.requests,
		Class:      sim.random.IntN(len(sim.classes)),
		Group:      int64(sim.random.IntN(3) + 1),
		SessionKey: int64(sim.random.IntN(5)),
		HasSession: sim.chance(0.7),
		WorkHint:   int64(sim.random.IntN(2) * 50e3),
	}
	if sim.chance(0.5) {
		event.SessionWriteAge = int64(sim.random.IntN(400e3)) - 50e3
	}
	event.Deadline = sim.now + sim.classes[event.Class].Deadline
	switch sim.random.IntN(60) {
	case 0:
		event.Deadline = sim.now + 10e3 // no time left for an answer
	case 1:
		event.Group = 99
	case 2:
		event.Class = []int{-1, len(sim.classes)}[sim.random.IntN(2)]
	}
	gateway.classOf[event.Request] = event.Class
	gateway.unanswered = append(gateway.unanswered, event.Request)
	sim.handle(gateway, event)
}

func (sim *simulation) position(host *simulatedHost) int64 {
	if host.condition == conditionLagging {
		return sim.now - 1e6 - int64(sim.random.IntN(1e6))
	}
	return sim.now - int64(sim.random.IntN(80e3))
}

func (sim *simulation) report(host *simulatedHost) balance.HostReport {
	return balance.HostReport{
		HasPosition: sim.chance(0.8),
		HasRole:     sim.chance(0.6),
		Position:    sim.position(host),
		Primary:     sim.isPrimary(host),
	}
}

// result draws how an attempt or a health check ends.
func (sim *simulation) result(host *simulatedHost) balance.Result {
	if sim.chance(0.02) {
		return balance.Result(sim.random.IntN(int(balance.NotPrimary) + 1))
	}
	results := resultsOf[host.condition]
	return results[sim.random.IntN(len(results))]
}

// endAttempt ends an attempt in flight. Some attempts end twice, so that the second outcome is late.
func (sim *simulation) endAttempt(gateway *simulatedGateway) {
	if len(gateway.attempts) == 0 {
		return
	}
	i := sim.random.IntN(len(gateway.attempts))
	attempt := gateway.attempts[i]
	host := sim.hostNamed(attempt.host)
	if sim.staysInFlight(host, &attempt) {
		return
	}
	if sim.chance(0.97) {
		gateway.attempts = slices.Delete(gateway.attempts, i, i+1)
	}
	event := balance.Event{
		Kind:    balance.OutcomeEvent,
		Request: attempt.request,
		Attempt: attempt.number,
		Host:    attempt.host,
		Result:  sim.result(host),
		Latency: min(sim.now-attempt.sentAt, int64(5e3+sim.random.IntN(60e3))),
	}
	if event.Result == balance.Succeeded && !sim.isPrimary(host) && sim.isWrite(attempt.class) {
		event.Result = balance.NotPrimary
	}
	if host.condition == conditionSlow {
		event.Latency = sim.now - attempt.sentAt
	}
	sim.fillAnswer(&event, host)
	succeeded := event.Result == balance.Succeeded && sim.chance(0.95)
	failed := event.Result == balance.Failed && sim.chance(0.3)
	event.Finished = succeeded || failed || sim.chance(0.02)
	if sim.chance(0.005) {
		event.Host = "nobody"
	}
	sim.handle(gateway, event)
}

// staysInFlight reports whether an attempt at a slow or crashed host does not end yet.
func (sim *simulation) staysInFlight(host *simulatedHost, attempt *simulatedAttempt) bool {
	late := host.condition == conditionSlow || host.condition == conditionCrashed
	return late && sim.now-attempt.sentAt < 400e3 && sim.chance(0.9)
}

// isWrite reports whether a class consists of writes; a request may have a class that does not exist.
func (sim *simulation) isWrite(class int) bool {
	exists := class >= 0 && class < len(sim.classes)
	return exists && sim.classes[class].Consistency == balance.Write
}

// fillAnswer adds the position, role and report of the host to most answers. Some roles contradict the
// others.
func (sim *simulation) fillAnswer(event *balance.Event, host *simulatedHost) {
	if !event.Result.Answered() || !sim.chance(0.8) {
		return
	}
	event.Position = sim.position(host)
	event.Report = sim.report(host)
	event.Role = balance.Replica
	if sim.isPrimary(host) != sim.chance(0.03) {
		event.Role = balance.Primary
	}
}

// disconnectClient ends one of the latest requests that have no final answer.
func (sim *simulation) disconnectClient(gateway *simulatedGateway) {
	if len(gateway.unanswered) == 0 {
		return
	}
	i := max(0, len(gateway.unanswered)-1-sim.random.IntN(20))
	sim.handle(gateway, balance.Event{Kind: balance.ClientDisconnectedEvent, Request: gateway.unanswered[i]})
}

// answerHealthCheck ends the oldest health check. Some results are lost.
func (sim *simulation) answerHealthCheck(gateway *simulatedGateway) {
	if len(gateway.healthChecks) == 0 {
		return
	}
	name := gateway.healthChecks[0]
	gateway.healthChecks = gateway.healthChecks[1:]
	if sim.chance(0.05) {
		return
	}
	host := sim.hostNamed(name)
	event := balance.Event{
		Kind:    balance.HealthCheckEvent,
		Host:    name,
		Result:  sim.result(host),
		Latency: int64(1e3 + sim.random.IntN(20e3)),
	}
	if event.Result.Answered() {
		event.Report = sim.report(host)
	}
	if sim.chance(0.01) {
		event.Host = "nobody"
	}
	sim.handle(gateway, event)
}

// deliverGossip passes a message of a random gateway. Some messages are corrupted.
func (sim *simulation) deliverGossip(gateway *simulatedGateway) {
	from := sim.randomGateway()
	event := balance.Event{Kind: balance.GossipEvent, Peer: from.ordinal, Data: []byte{3, 1, 2}}
	if len(from.gossip) > 0 {
		event.Data = slices.Clone(from.gossip[max(0, len(from.gossip)-1-sim.random.IntN(3))])
	}
	if sim.chance(0.1) {
		event.Data[sim.random.IntN(len(event.Data))] ^= byte(1 + sim.random.IntN(255))
	}
	sim.handle(gateway, event)
}

// callOtherMethods calls one of the router's methods other than Handle.
func (sim *simulation) callOtherMethods(gateway *simulatedGateway) {
	switch sim.random.IntN(4) {
	case 0:
		for _, attempt := range gateway.attempts {
			sim.hash.Bool(gateway.router.AttemptStillValid(sim.now, attempt.request))
		}
		sim.hash.Bool(gateway.router.AttemptStillValid(sim.now, -1))
	case 1:
		gateway.snapshot = gateway.router.Snapshot()
		sim.hash.snapshot(gateway.snapshot)
	case 2:
		snapshot := sim.randomGateway().snapshot
		sim.apply(gateway, gateway.router.Restore(sim.now, snapshot, nil))
	case 3:
		if sim.chance(0.3) {
			gateway.router.SetZoneShares(nil)
			return
		}
		shares := zoneShareList{sim.random.Float64(), 1, float64(sim.random.IntN(2))}
		gateway.router.SetZoneShares(shares)
	}
}

package balance_test

import (
	"fmt"

	"cloverrock/balance"
)

// Example shows an embedding program that passes events to a router and carries out the actions.
func Example() {
	const ms = 1000
	router, err := balance.New(balance.Settings{
		TickInterval: 5 * ms, MaxAttempts: 4, HealthChecks: true,
		Classes: []balance.Class{{
			LatencyObjective: 200 * ms,
			Deadline:         1000 * ms,
			PriorityWeight:   1,
			RetrySafety:      balance.NonIdempotent,
			Consistency:      balance.Write,
		}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []balance.Action) {
		for _, action := range actions {
			switch action.Kind {
			case balance.SendAction:
				fmt.Println("send", action.Request, "to", action.Host)
			case balance.RejectAction:
				fmt.Println("reject", action.Request)
			}
		}
	}
	now := int64(1_000_000)
	show(router.Handle(now, balance.Event{
		Kind:     balance.EndpointsEvent,
		Complete: true,
		Endpoints: []balance.Endpoint{
			{Host: "a", State: balance.Ready, Primary: true},
			{Host: "b", State: balance.Ready},
		},
	}, nil))
	show(router.Handle(now, balance.Event{
		Kind:     balance.RequestEvent,
		Request:  1,
		Deadline: now + 1000*ms,
	}, nil))
	// Host a is no longer the primary and rejects the write, which then goes to the next member.
	now += 20 * ms
	show(router.Handle(now, balance.Event{
		Kind:    balance.OutcomeEvent,
		Request: 1,
		Host:    "a",
		Latency: 20 * ms,
		Result:  balance.NotPrimary,
		Role:    balance.Replica,
	}, nil))
	// Output:
	// send 1 to a
	// send 1 to b
}

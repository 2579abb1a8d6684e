package simprotocol

import (
	"reflect"
	"strings"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/golden"
)

// Each kind of action must be encoded as the same line as in earlier versions.
func TestActionsAreEncodedAsBefore(t *testing.T) {
	actions := []struct {
		name   string
		action balance.Action
	}{
		{"send", balance.Action{Kind: balance.SendAction, Request: 1 << 62, Host: "h", Timeout: 1001}},
		{"send, no timeout", balance.Action{Kind: balance.SendAction, Request: 1, Host: "h"}},
		{"cancel", balance.Action{Kind: balance.CancelAction, Request: -1, Attempt: 2}},
		{"refuse", balance.Action{Kind: balance.RejectAction, Request: 3, RetryAfter: 1}},
		{"refuse for good", balance.Action{Kind: balance.RejectAction, Request: 3}},
		{"fail", balance.Action{Kind: balance.FailAction, Request: 4}},
		{"timer", balance.Action{Kind: balance.TimerAction, At: -1_000_010, Token: 5}},
		{"probe", balance.Action{Kind: balance.HealthCheckAction, Host: "h"}},
		{"close", balance.Action{Kind: balance.CloseIdleAction, Host: "h"}},
		{"tell all", balance.Action{Kind: balance.GossipAction, Peer: -1, Data: []byte{0, 127, 255}}},
		{"tell one nothing", balance.Action{Kind: balance.GossipAction, Peer: 0}},
		{"log", balance.Action{Kind: balance.LogAction, Log: &balance.LogEntry{Message: "a\tb\nü"}}},
		{"subscribe", balance.Action{Kind: balance.SubscribeAction}},
		{"fetch", balance.Action{Kind: balance.PollEndpointsAction}},
	}
	var cases []golden.Case
	for _, test := range actions {
		cases = append(cases, golden.Case{Name: test.name, Form: strings.TrimSuffix(string(AppendAction(nil, 7, &test.action)), "\n")})
	}
	cases = append(cases, golden.Case{Name: "exception", Form: strings.TrimSuffix(string(AppendException(nil, 7, "a\nb")), "\n")})
	golden.Check(t, "actions.golden", cases)
}

// Each kind of line must be decoded to the same event as in earlier versions: each named part sets its field
// and no other.
func TestEventsAreDecodedAsBefore(t *testing.T) {
	entries := []balance.Endpoint{{Host: "h", Zone: 1, Group: 2, Kind: 3, State: balance.Draining, Primary: true, Weight: 2.5, StartedAt: 1500}}
	report := balance.HostReport{HasPosition: true, Position: 1_500_007, HasRole: true, Primary: true}
	tests := []struct {
		line string
		want balance.Event
	}{
		{"topology who=0 scope=0 buffer=2", balance.Event{Kind: balance.EndpointsEvent, Endpoints: entries}},
		{"topology who=0 scope=1 buffer=2", balance.Event{Kind: balance.EndpointsEvent, Endpoints: entries, Complete: true}},
		{"topology who=0 scope=3", balance.Event{Kind: balance.EndpointsEvent, PollFailed: true}},
		{"call ticket=9223372036854775807 service=1 shard=2 session=3 lastWriteMs=-4.5 dropDeadMs=5.001 weightHintMs=6", balance.Event{Kind: balance.RequestEvent,
			Request: 1<<63 - 1, Class: 1, Group: 2, SessionKey: 3, HasSession: true, SessionWriteAge: -4500, Deadline: 5001, WorkHint: 6000}},
		{"call ticket=1", balance.Event{Kind: balance.RequestEvent, Request: 1}},
		{"completed ticket=1 try=2 over=1 note=9 host=h timeTakenMs=0.5 status=done feedback=x0:1.5,x1:1", balance.Event{Kind: balance.OutcomeEvent,
			Request: 1, Attempt: 2, Finished: true, Role: balance.Primary, Position: 2007, Host: "h", Latency: 500, Result: balance.Succeeded, Report: report}},
		{"completed note=2 status=err", balance.Event{Kind: balance.OutcomeEvent, Role: balance.Replica, Result: balance.Failed}},
		{"completed status=busy", balance.Event{Kind: balance.OutcomeEvent, Result: balance.Overloaded}},
		{"completed status=etimedout", balance.Event{Kind: balance.OutcomeEvent, Result: balance.TimedOut}},
		{"completed status=econnrefused", balance.Event{Kind: balance.OutcomeEvent, Result: balance.ConnectionRefused}},
		{"completed status=econnreset", balance.Event{Kind: balance.OutcomeEvent, Result: balance.ConnectionReset}},
		{"completed status=ecanceled", balance.Event{Kind: balance.OutcomeEvent, Result: balance.Canceled}},
		{"completed status=skipped", balance.Event{Kind: balance.OutcomeEvent, Result: balance.NotSent}},
		{"completed status=enoent", balance.Event{Kind: balance.OutcomeEvent, Result: balance.NotPrimary}},
		{"check_result host=h timeTakenMs=1 status=done feedback=x0:1.5,x1:1", balance.Event{Kind: balance.HealthCheckEvent, Host: "h", Latency: 1000, Report: report}},
		{"left ticket=3", balance.Event{Kind: balance.ClientDisconnectedEvent, Request: 3}},
		{"deadline_hit ref=4", balance.Event{Kind: balance.TimerEvent, Token: 4}},
		{"message from=5 contents=007fff", balance.Event{Kind: balance.GossipEvent, Peer: 5, Data: []byte{0, 127, 255}}},
		{"message from=0 contents=-", balance.Event{Kind: balance.GossipEvent}},
	}
	c := NewCodec()
	if err := c.BeginList(ParseLine([]byte("roster buffer=2 records=1"))); err != nil {
		t.Fatal(err)
	}
	if err := c.AddEndpoint(ParseLine([]byte("m host=h rackZone=1 cluster=2 generationHw=3 phase=2 isPrimary=1 units=2.5 bornMs=1.5"))); err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		var read balance.Event
		if err := c.ParseEvent(ParseLine([]byte(test.line)), 7, &read); err != nil || !reflect.DeepEqual(read, test.want) {
			t.Errorf("%s was read as %v with error %v", test.line, read, err)
		}
	}
}

// Each option of a start line must have the same effect as in earlier versions. The keys are those of the protocol.
func TestStartOptionsAreDecodedAsBefore(t *testing.T) {
	line := `start who=1 entropy=18446744073709551615 options={"zone":1,"zones":["a","b"],"hostTypes":["x"],"tickMs":5,"discovery":"subscribe",` +
		`"classes":[{"name":"n","aimMs":1,"deadlineMs":2,"windowMs":3,"worth":4,"lateWorth":0.5,"aimStretch":6,"repeat":"idempotency_key","group":"cell"},` +
		`{"repeat":"non_idempotent","group":"zone"},{},{},{}],"balancers":3,"ordinal":2,"costs":{"crossZone":7,"peer":8},` +
		`"extra":{"baseTimeMs":9,"classRead":["recent","own_writes","latest","update","loose"],"stalenessBoundMs":[10],"serverChecks":"reject","tokens":"client"},` +
		`"limits":{"cancel":true,"probes":true,"mayTell":true,"dialTimeoutMs":11,"maxRetryAfterMs":12,"idleCloseMs":13,"maxAttempts":14},` +
		`"obligations":{"coldFrom":15,"coldMs":16,"fallMultiple":17,"overloadForMs":18,"drainBindsAlone":true}}`
	want := balance.Settings{Zone: 1, TickInterval: 5000, MustSubscribe: true, HealthChecks: true, Cancellation: true, MaxRetryAfter: 12_000, MaxAttempts: 14, DialTimeout: 11_000,
		HostsCheckStaleness: true, RequestsCarrySessionAge: true, CrossZoneCost: 7, OnlyDrainingExcludes: true, SlowStartInitialShare: 15, SlowStartDuration: 16_000, SlowStartOverloadFactor: 17, SlowStartOverloadWindow: 18_000,
		Gateways: 3, Ordinal: 2, GossipBytesPerRequest: 1.92, Classes: []balance.Class{
			{LatencyObjective: 1000, Deadline: 2000, DeduplicationWindow: 3000, PriorityWeight: 4, LatePriorityWeight: 0.5, ObjectivePerWork: 6, RetrySafety: balance.IdempotencyKey, DeduplicationScope: balance.ScopeGroup, Consistency: balance.BoundedStaleness, MaxStaleness: 10_000},
			{RetrySafety: balance.NonIdempotent, DeduplicationScope: balance.ScopeZone, Consistency: balance.ReadYourWrites}, {Consistency: balance.Linearizable}, {Consistency: balance.Write}, {}}}
	read, seed, origin, err := ParseStart(ParseLine([]byte(line)))
	if err != nil || seed != 1<<64-1 || origin != 9000 || !reflect.DeepEqual(read, want) {
		t.Errorf("read as %v, seed %d, origin %d, error %v\nwant %v", read, seed, origin, err, want)
	}
	if clock, err := ParseClock(ParseLine([]byte("turn wallMs=1.0005"))); err != nil || clock != 1001 {
		t.Errorf("the clock was read as %d with error %v", clock, err)
	}
	if who, err := ParseInstance(ParseLine([]byte("left who=3"))); err != nil || who != 3 {
		t.Errorf("the instance was read as %d with error %v", who, err)
	}
}

package simprotocol

import (
	"testing"

	"cloverrock/balance"
)

func TestActions(t *testing.T) {
	for _, c := range []struct {
		a    balance.Action
		want string
	}{
		{balance.Action{Kind: balance.SendAction, Request: 7, Host: "h-a", Timeout: 80500}, "issue who=3 ticket=7 host=h-a maxWaitMs=80.500"},
		{balance.Action{Kind: balance.SendAction, Request: 7, Host: "h-a", Timeout: -1}, "issue who=3 ticket=7 host=h-a maxWaitMs=-0.001"},
		{balance.Action{Kind: balance.CancelAction, Request: 7, Attempt: 2}, "recall who=3 ticket=7 try=2"},
		{balance.Action{Kind: balance.RejectAction, Request: 7, RetryAfter: 12000}, "not_now who=3 ticket=7 waitMs=12"},
		{balance.Action{Kind: balance.FailAction, Request: 7}, "finish_error who=3 ticket=7"},
		{balance.Action{Kind: balance.TimerAction, At: 8912250, Token: 77}, "set_alarm who=3 whenMs=8912.250 ref=77"},
		{balance.Action{Kind: balance.HealthCheckAction, Host: "h-a"}, "poll who=3 host=h-a"},
		{balance.Action{Kind: balance.CloseIdleAction, Host: "h-a"}, "release who=3 host=h-a"},
		{balance.Action{Kind: balance.GossipAction, Peer: -1, Data: []byte("hi p7")}, "say who=3 whom=all contents=6869207037"},
		{balance.Action{Kind: balance.GossipAction, Peer: 2}, "say who=3 whom=2 contents=-"},
		{balance.Action{Kind: balance.LogAction, Text: "a\nb"}, "journal_line who=3 reasonText=a b"},
		{balance.Action{Kind: balance.SubscribeAction}, "stream_changes who=3 enable=1"},
		{balance.Action{Kind: balance.PollEndpointsAction}, "reload who=3"},
	} {
		if got := string(AppendAction(nil, 3, &c.a)); got != c.want+"\n" {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

func TestOutcome(t *testing.T) {
	c, ev := NewCodec(), balance.Event{}
	line := "completed who=3 ticket=1564119492 try=1 note=25486 host=host-a timeTakenMs=18.5 over=1 status=enoent feedback=x0:1.5,x1:1,rif:4,new:2"
	if err := c.Event(Split([]byte(line)), 1000, &ev); err != nil {
		t.Fatal(err)
	}
	if ev.Kind != balance.OutcomeEvent || ev.Request != 1564119492 || ev.Attempt != 1 || ev.Host != "host-a" || !ev.Finished ||
		ev.Result != balance.NotPrimary || ev.Latency != 18500 || ev.Role != balance.Replica || ev.Position != 1000+6371*1000 {
		t.Errorf("outcome read as %+v", ev)
	}
	want := balance.HostReport{HasPosition: true, Position: 1501000, HasRole: true, Primary: true}
	if ev.Report != want {
		t.Errorf("report read as %+v", ev.Report)
	}
}

func TestCallInAnyOrder(t *testing.T) {
	c, ev := NewCodec(), balance.Event{}
	line := "call dropDeadMs=8652.25 shard=11 lastWriteMs=412.5 service=2 session=4569004829183723 ticket=9 who=3"
	if err := c.Event(Split([]byte(line)), 0, &ev); err != nil {
		t.Fatal(err)
	}
	if ev.Kind != balance.RequestEvent || ev.Class != 2 || ev.Group != 11 || ev.Key != 4569004829183723 || !ev.HasKey ||
		ev.SessionWriteAge != 412500 || ev.Deadline != 8652250 || ev.Request != 9 {
		t.Errorf("call read as %+v", ev)
	}
}

func TestStart(t *testing.T) {
	line := `start who=1 entropy=5 options={"balancers": 3, "ordinal": 2, "zones": ["a", "b"], "discovery": "subscribe",
 "classes": [{"aimMs": 200.5, "deadlineMs": 500, "repeat": "non_idempotent", "streamed": true}, {"aimMs": 1, "deadlineMs": 2, "repeat": "idempotency_key", "group": "zone"}],
 "extra": {"baseTimeMs": 2.5, "classRead": ["own_writes", "recent"], "stalenessBoundMs": [0, 300], "roleInList": "delayed", "serverChecks": "hold", "tokens": "router"},
 "obligations": {"drainBindsAlone": true, "coldFrom": 0.25}, "report": {"fields": ["x0", "rif"]}, "weightSource": "live", "tickMs": 5, "what": {}}`
	s, seed, base, err := Start(Split([]byte(line)))
	if err != nil {
		t.Fatal(err)
	}
	if seed != 5 || base != 2500 || !s.MustSubscribe || !s.HostsCheckStaleness || s.RequestsCarrySessionAge ||
		!s.OnlyDrainingExcludes || s.SlowStartInitialShare != 0.25 {
		t.Errorf("settings read as %+v", s)
	}
	a, b := s.Classes[0], s.Classes[1]
	if a.LatencyObjective != 200500 || a.RetrySafety != balance.NonIdempotent || a.Consistency != balance.ReadYourWrites ||
		b.RetrySafety != balance.IdempotencyKey || b.DeduplicationScope != balance.ScopeZone || b.Consistency != balance.BoundedStaleness || b.MaxStaleness != 300000 {
		t.Errorf("classes read as %+v", s.Classes)
	}
}

package simprotocol

import (
	"testing"

	"cloverrock/balance"
)

func TestActionsAreWrittenAsLines(t *testing.T) {
	for _, c := range []struct {
		action balance.Action
		want   string
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
		{balance.Action{Kind: balance.LogAction, Log: &balance.LogEntry{Message: "a\nb"}}, "journal_line who=3 reasonText=a b"},
		{balance.Action{Kind: balance.LogAction, Log: &balance.LogEntry{
			Message: "lost", HasGroup: true, Host: "h", Reason: "replica", Count: 2,
		}}, "journal_line who=3 reasonText=lost group=0 host=h reason=replica count=2"},
		{balance.Action{Kind: balance.SubscribeAction}, "stream_changes who=3 enable=1"},
		{balance.Action{Kind: balance.PollEndpointsAction}, "reload who=3"},
	} {
		if got := string(AppendAction(nil, 3, &c.action)); got != c.want+"\n" {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

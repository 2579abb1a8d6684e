package balance

import "testing"

func TestFullConnectionTableShortensTheIdleTimeout(t *testing.T) {
	quick, slow := 2*ms, 250*ms
	for _, c := range []struct {
		name      string
		result    Result
		latency   int64
		connected bool // a connection was open before
		shorter   bool
	}{
		{"quick refusal", ConnectionRefused, quick, false, true},
		{"slow refusal", ConnectionRefused, slow, false, false},
		{"refusal beside an open connection", ConnectionRefused, quick, true, false},
		{"reset", ConnectionReset, quick, false, false},
	} {
		rig := readyRig(t, testSettings())
		if c.connected {
			id, _ := rig.request(keyedWrite)
			rig.answer(id, "a", Succeeded, Primary, rig.now)
		}
		id, _ := rig.request(keyedWrite)
		for attempt := range 2 { // a single refusal may be a link failure
			if rig.router.idleTimeout < maxIdleTimeout {
				t.Errorf("%s: idle timeout %d us after at most one failed attempt, want no change",
					c.name, rig.router.idleTimeout)
			}
			rig.handle(Event{
				Kind: OutcomeEvent, Request: id, Attempt: attempt, Host: "a",
				Result: c.result, Latency: c.latency,
			})
			rig.host("a").connected = c.connected
			rig.report("a", true, rig.now)
		}
		if shorter := rig.router.idleTimeout < maxIdleTimeout; shorter != c.shorter {
			t.Errorf("%s: wrong idle timeout %d us", c.name, rig.router.idleTimeout)
		}
	}
}

func TestIdleConnectionsAreClosedAfterTheIdleTimeout(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.request(eventualRead)
	host := sentTo(actions, id)
	rig.answer(id, host, Succeeded, Replica, rig.now)
	rig.router.idleTimeout = 1000 * ms
	if hasAction(rig.advance(900*ms), CloseIdleAction, anyRequest) {
		t.Error("closed before the idle timeout")
	}
	closing := findAction(rig.advance(300*ms), CloseIdleAction, anyRequest)
	if closing == nil || closing.Host != host {
		t.Error("an idle connection was not closed")
	}
}

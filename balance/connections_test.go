package balance

import "testing"

func TestFullConnectionTableShortensTheIdleTimeout(t *testing.T) {
	quick, slow := 2*ms, 250*ms
	for _, c := range []struct {
		name    string
		res     Result
		took    int64
		open    bool // a connection was there before
		shorter bool
	}{
		{"quick refusal", ConnectionRefused, quick, false, true},
		{"slow refusal", ConnectionRefused, slow, false, false},
		{"refusal beside an open connection", ConnectionRefused, quick, true, false},
		{"reset", ConnectionReset, quick, false, false},
	} {
		rig := readyRig(t, testSettings())
		if c.open {
			id, _ := rig.request(keyedWrite)
			rig.answer(id, "a", Succeeded, Primary, rig.now)
		}
		id, _ := rig.request(keyedWrite)
		for try := range 2 { // one alone may be a bad link's
			if rig.router.idleTimeout < maxIdleTimeout {
				t.Errorf("%s: idle connections kept for %d us after one", c.name, rig.router.idleTimeout)
			}
			rig.handle(Event{Kind: OutcomeEvent, Request: id, Attempt: try, Host: "a", Result: c.res, Latency: c.took})
			rig.router.hosts["a"].connected = c.open
			rig.report("a", true, rig.now)
		}
		if got := rig.router.idleTimeout < maxIdleTimeout; got != c.shorter {
			t.Errorf("%s: idle connections kept for %d us", c.name, rig.router.idleTimeout)
		}
	}
	rig := readyRig(t, testSettings())
	id, actions := rig.request(eventualRead)
	h := sentTo(actions, id)
	rig.answer(id, h, Succeeded, Replica, rig.now)
	rig.router.idleTimeout = 1000 * ms
	if a := findAction(rig.advance(900*ms), CloseIdleAction, -1); a != nil {
		t.Error("closed before its time")
	}
	if a := findAction(rig.advance(300*ms), CloseIdleAction, -1); a == nil || a.Host != h {
		t.Error("an idle connection was kept")
	}
}

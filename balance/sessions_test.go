package balance

import "testing"

func TestSessionReadFollowsItsRememberedWrite(t *testing.T) {
	settings := testSettings()
	settings.RequestsCarrySessionAge = false
	rig := readyRig(t, settings)
	id, _ := rig.requestAs(unsafeWrite, 5, 0)
	rig.now += 50 * ms
	rig.answer(id, "a", Succeeded, Primary, rig.now)
	if id, actions := rig.requestAs(sessionRead, 5, 0); sentTo(actions, id) != "a" {
		t.Fatal("a session's read did not follow its write to the primary")
	}
	if id, actions := rig.requestAs(sessionRead, 6, 0); sentTo(actions, id) == "a" {
		t.Fatal("another session's read went to the primary")
	}
	rig.advance(3 * int64(commitRetention))
	sessions := &rig.router.sessions
	if len(sessions.recent)+len(sessions.older) != 0 {
		t.Fatal("old commits are still stored by session")
	}
	if sessions.position(5) == 0 {
		t.Fatal("old commits are not covered by the floor")
	}
}

// The position of a commit may be rounded up to whole milliseconds, and then lies ahead of the clock.
func TestReadWaitsForACommitAheadOfTheClock(t *testing.T) {
	rig := readyRig(t, testSettings())
	id, actions := rig.requestAs(sessionRead, 5, -ms/2)
	if host := sentTo(actions, id); host == "b" || host == "c" {
		t.Error("the read was sent to a replica that has not applied the commit")
	}
}

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
	if len(rig.router.sessions.recent)+len(rig.router.sessions.older) != 0 || max(rig.router.sessions.floor, rig.router.sessions.recent[5], rig.router.sessions.older[5]) == 0 {
		t.Fatal("old commits must leave the memory and stay covered by the floor")
	}
}

// A commit rounded up to whole milliseconds may lie ahead of the clock; it binds all the same.
func TestCommitAheadOfTheClockBindsReads(t *testing.T) {
	rig := readyRig(t, testSettings())
	if id, actions := rig.requestAs(sessionRead, 5, -ms/2); sentTo(actions, id) == "b" || sentTo(actions, id) == "c" {
		t.Error("sent to a replica that stands before the commit")
	}
}

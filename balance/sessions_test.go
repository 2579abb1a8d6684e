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

// A session's read missed a write whose answer told no position: for reads, the write did not exist. The
// commit counts as made when its answer came, so a replica qualifies once its position is not before that.
func TestSessionReadFollowsAWriteOfUnknownPosition(t *testing.T) {
	for _, role := range []Role{RoleUnknown, Primary} {
		settings := testSettings()
		settings.RequestsCarrySessionAge = false
		rig := readyRig(t, settings)
		id, _ := rig.requestAs(unsafeWrite, 5, 0)
		rig.now += 50 * ms
		rig.answer(id, "a", Succeeded, role, 0)
		answeredAt := rig.now
		rig.now += 10 * ms
		rig.reportAll(answeredAt - 1)
		if id, actions := rig.requestAs(sessionRead, 5, 0); sentTo(actions, id) != "a" {
			t.Errorf("role %d: a session's read did not follow its write to the primary", role)
		}
		if id, actions := rig.requestAs(sessionRead, 6, 0); sentTo(actions, id) == "a" {
			t.Errorf("role %d: another session's read went to the primary", role)
		}
		rig.reportAll(answeredAt)
		if id, actions := rig.requestAs(sessionRead, 5, 0); sentTo(actions, id) == "a" {
			t.Errorf("role %d: the read went to the primary although replicas have the write", role)
		}
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

package core

import (
	"errors"
	"testing"

	"cloverrock/internal/store/machine"
)

// The agreed format is raised only when all members support the newer one. An instance that receives a command of a newer
// format nevertheless stops applying and reports it, and the others keep their quorum.
func TestUnsupportedFormatHaltsOnlyTheOldInstance(t *testing.T) {
	cl := newCluster(t, 1, machine.Format+1, machine.Format+1)
	leader := cl.elect(2)
	for range 3 * dutyInterval {
		leader.Tick()
		cl.runUntilIdle()
	}
	if leader.Machine().AgreedFormat() != 1 {
		t.Fatal("the format was raised beyond what a member supports")
	}
	leader.Propose(1, &machine.Command{Format: machine.Format + 1, Kind: machine.TransactionKind})
	cl.runUntilIdle()
	if answer := cl.answers[2][1]; answer.Err != nil {
		t.Fatalf("a newer build: %+v", answer)
	}
	old := cl.cores[1]
	if status := old.Status(); status.Halted == "" || status.Applied >= leader.Status().Applied {
		t.Errorf("an old build that met a newer command: %+v", status)
	}
	old.Propose(2, &machine.Command{Kind: machine.TransactionKind})
	old.Read(3)
	cl.runUntilIdle()
	for _, token := range []uint64{2, 3} {
		if answer := cl.answers[1][token]; !errors.Is(answer.Err, ErrHalted) {
			t.Errorf("token %d at the old build: %+v", token, answer)
		}
	}
	leader.Propose(4, &machine.Command{Kind: machine.OpenSessionKind})
	cl.runUntilIdle()
	if answer := cl.answers[2][4]; answer.Err != nil {
		t.Errorf("the others do not continue: %+v", answer)
	}
}

package core

import (
	"errors"
	"testing"

	"cloverrock/internal/store/machine"
)

// A read that was requested before the instance halts is answered with ErrHalted. Its index is beyond what the instance
// will ever apply, so that the read would otherwise never be answered.
func TestReadBeforeHaltIsAnswered(t *testing.T) {
	cl := newCluster(t, 1, machine.Format+1, machine.Format+1)
	leader := cl.elect(2)
	old := cl.cores[1]
	var delayed []Envelope
	cl.transmit = func(e Envelope) {
		if e.To == 1 {
			delayed = append(delayed, e)
			return
		}
		cl.deliver(e)
	}
	leader.Propose(1, &machine.Command{Format: machine.Format + 1, Kind: machine.TransactionKind})
	cl.runUntilIdle()
	old.Read(2)
	cl.runUntilIdle()
	cl.transmit = cl.deliver
	for _, e := range delayed {
		cl.deliver(e)
	}
	cl.runUntilIdle()
	if old.Status().Halted == "" {
		t.Fatal("the instance has not halted")
	}
	for range 2 * readIndexTimeout {
		old.Tick()
		cl.runUntilIdle()
	}
	if answer, answered := cl.answers[1][2]; !answered || !errors.Is(answer.Err, ErrHalted) {
		t.Errorf("the read before the halt: answered %t, %+v; want ErrHalted", answered, answer)
	}
}

// The agreed format is raised only when all members support the newer one. An instance that nevertheless receives a
// command of an unsupported format stops applying and reports that in its status, and the others keep their quorum.
func TestUnsupportedFormatHaltsOnlyTheOldInstance(t *testing.T) {
	cl := newCluster(t, 1, machine.Format+1, machine.Format+1)
	leader := cl.elect(2)
	for range 3 * leaderTaskInterval {
		leader.Tick()
		cl.runUntilIdle()
	}
	if leader.Machine().AgreedFormat() != 1 {
		t.Fatal("the format was raised beyond what a member supports")
	}
	leader.Propose(1, &machine.Command{Format: machine.Format + 1, Kind: machine.TransactionKind})
	cl.runUntilIdle()
	if answer := cl.answers[2][1]; answer.Err != nil {
		t.Fatalf("a command of the newer format at a build that supports it: %+v", answer)
	}
	old := cl.cores[1]
	if status := old.Status(); status.Halted == "" || status.Applied >= leader.Status().Applied {
		t.Errorf("an old build that received a command of a newer format has not halted: %+v", status)
	}
	old.Propose(2, &machine.Command{Kind: machine.TransactionKind})
	old.Read(3)
	cl.runUntilIdle()
	for _, token := range []uint64{2, 3} {
		if answer := cl.answers[1][token]; !errors.Is(answer.Err, ErrHalted) {
			t.Errorf("token %d at the halted instance: %+v, want ErrHalted", token, answer)
		}
	}
	leader.Propose(4, &machine.Command{Kind: machine.OpenSessionKind})
	cl.runUntilIdle()
	if answer := cl.answers[2][4]; answer.Err != nil {
		t.Errorf("a proposal at the other instances failed: %+v", answer)
	}
}

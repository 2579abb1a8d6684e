package processrig

import (
	"testing"
	"time"
)

// The same plan name and seed must give the same faults, so that a run can be repeated. A different seed must give
// different faults.
func TestPlanIsDecidedByNameAndSeed(t *testing.T) {
	for _, name := range Plans {
		first := hashOfPlan(t, name, 1)
		again := hashOfPlan(t, name, 1)
		other := hashOfPlan(t, name, 2)
		random := name != "none" && name != "loss"
		if first != again || random && first == other {
			t.Errorf("plan %s: the same seed must give the same faults, and another seed different ones", name)
		}
	}
	if _, err := MakePlan("storm", 1, 3, time.Second); err == nil {
		t.Error("an unknown plan was accepted")
	}
}

// hashOfPlan makes a plan, checks that its events lie within the run, and returns its hash.
func hashOfPlan(t *testing.T, name string, seed uint64) string {
	t.Helper()
	const gateways, run = 30, 20 * time.Second
	events, err := MakePlan(name, seed, gateways, run)
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range events {
		known := event.Gateway >= 0 && event.Gateway < gateways
		inTime := event.AtMS >= 0 && event.ForMS > 0 && event.AtMS+event.ForMS <= run.Milliseconds()
		effective := event.Fault != Cut || event.CutFrom || event.CutTo
		if !known || !inTime || !effective {
			t.Errorf("plan %s: event outside the run or without effect: %+v", name, event)
		}
	}
	hash, err := Hash(events)
	if err != nil {
		t.Fatal(err)
	}
	return hash
}

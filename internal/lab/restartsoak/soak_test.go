package restartsoak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runLimit bounds one run.
const runLimit = time.Minute

// buildGateway builds the gateway and returns the path of the program.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cloverrock")
	if output, err := exec.Command("go", "build", "-o", path, "cloverrock/cmd/cloverrock").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

func runSeed(t *testing.T, options Options) *Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), runLimit)
	defer cancel()
	result, err := Run(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Guards against requests that are lost or executed twice, and against processes that exit or become ready too late, when
// a gateway is restarted under series of signals, pipelining clients and faults of hosts, discovery and the log. This test
// runs a few seeds; `cloverrock-lab soak` runs many.
func TestRestartsLoseNoRequest(t *testing.T) {
	program := buildGateway(t)
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, Options{Program: program, Seed: seed})
			if len(result.Faults) > 0 {
				t.Errorf("plan %+v, %v:\n%s\n%s", result.Plan, result.Answers,
					strings.Join(result.Faults, "\n"), strings.Join(result.FirstFaultLog, "\n"))
			}
			if result.Answers[outcomeNames[served]] < result.Requests/4 {
				t.Errorf("outcomes %v: fewer than a quarter of %d requests were served", result.Answers, result.Requests)
			}
		})
	}
}

// Guards against a check that no longer detects its fault: each deliberate defect must be reported.
func TestChecksFindTheirFaults(t *testing.T) {
	program := buildGateway(t)
	const seed = 6 // its plan has no idle connections, and its log is read
	for defect, want := range map[string]string{
		DefectAbrupt:    "lost: no answer when its connection ended",
		DefectTwice:     "executed 2 times",
		DefectLateLeave: "after its client had left",
		DefectNoList:    "not ready within",
		DefectStopped:   "did not end within",
		DefectHeld:      "descriptors without clients",
		DefectMemory:    "MB of memory",
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, Options{Program: program, Seed: seed, Defect: defect})
			if !strings.Contains(strings.Join(result.Faults, "\n"), want) {
				t.Errorf("no reported fault contains: %s", want)
			}
		})
	}
}

// Guards against plans that depend on more than the seed: a run must be repeatable by its seed.
func TestPlanFollowsFromTheSeed(t *testing.T) {
	for seed := range uint64(100) {
		plan := MakePlan(seed)
		if again := MakePlan(seed); len(plan.Signals) == 0 || len(plan.Signals) != len(again.Signals) ||
			plan.LongestDeadlineMS != again.LongestDeadlineMS || len(plan.Faults) != len(again.Faults) {
			t.Errorf("the plans of one seed differ or have no signals: %+v and %+v", plan, again)
		}
	}
}

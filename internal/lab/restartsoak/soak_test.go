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

// Restarts with signals in series, clients that send ahead, and faults of hosts, discovery and the log lose no request, run
// none twice, and end and return in time. The long soak is cloverrock-lab soak.
func TestRestartsLoseNoRequest(t *testing.T) {
	program := buildGateway(t)
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, Options{Program: program, Seed: seed})
			if len(result.Faults) > 0 {
				t.Errorf("plan %+v, %v:\n%s\n%s", result.Plan, result.Answers,
					strings.Join(result.Faults, "\n"), strings.Join(result.First, "\n"))
			}
			if result.Answers[answerNames[served]] < result.Requests/4 {
				t.Errorf("only %v of %d requests were served", result.Answers, result.Requests)
			}
		})
	}
}

// Each check of the soak finds the fault that it is there for.
func TestChecksFindTheirFaults(t *testing.T) {
	program := buildGateway(t)
	const seed = 6 // a plan without a crowd and with a log that is read
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
				t.Errorf("not found: %s", want)
			}
		})
	}
}

// A run can be repeated by its seed.
func TestPlanFollowsFromTheSeed(t *testing.T) {
	for seed := range uint64(100) {
		plan := MakePlan(seed)
		if again := MakePlan(seed); len(plan.Signals) == 0 || len(plan.Signals) != len(again.Signals) ||
			plan.LongestMS != again.LongestMS || len(plan.Faults) != len(again.Faults) {
			t.Errorf("%+v and %+v", plan, again)
		}
	}
}

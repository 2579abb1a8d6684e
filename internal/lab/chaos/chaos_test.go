package chaos

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against acknowledged writes that are lost when three real processes are killed, cut off and restarted together
// under load. The second run, in which syncs do nothing, guards against checks that do not detect such a loss.
func TestNoAcknowledgedWriteOfThreeProcessesIsLost(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "cloverrock/cmd/cloverrock", "cloverrock/cmd/cloverrockd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	options := Options{Instances: 3, Duration: 6 * time.Second, Seed: 3, Program: filepath.Join(dir, "cloverrock"), Log: t.Logf}
	result, err := Run(ctx, options)
	if err != nil || !result.Passed() {
		t.Errorf("the run failed or found a fault: %+v, %v", result, err)
	}
	options.LoseSyncs = true
	options.Duration = time.Second
	if result, err = Run(ctx, options); err != nil || result.Passed() {
		t.Errorf("the checks did not detect that syncs do nothing: %+v, %v", result, err)
	}
}

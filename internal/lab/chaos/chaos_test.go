package chaos

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Three real processes are killed, cut off and restarted together under load, and no acknowledged write is lost. With
// syncs that do nothing the same checks find a loss.
func TestNoAcknowledgedWriteOfThreeProcessesIsLost(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "cloverrock/cmd/cloverrock", "cloverrock/cmd/cloverrockd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	options := Options{Instances: 3, For: 6 * time.Second, Seed: 3, Program: filepath.Join(dir, "cloverrock"), Log: t.Logf}
	result, err := Run(ctx, options)
	if err != nil || !result.Good() {
		t.Errorf("%+v, %v", result, err)
	}
	options.LoseSyncs = true
	options.For = time.Second
	if result, err = Run(ctx, options); err != nil || result.Good() {
		t.Errorf("lost syncs were not found: %+v, %v", result, err)
	}
}

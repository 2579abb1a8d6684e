package chaos

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Three real processes are killed, cut off and restarted together under load, and nothing that was acknowledged is
// lost. With syncs that do nothing the same rehearsal finds it.
func TestThreeProcesses(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "cloverrock/cmd/cloverrock", "cloverrock/cmd/cloverrockd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	o := Options{Instances: 3, For: 6 * time.Second, Seed: 3, Program: filepath.Join(dir, "cloverrock"), Log: t.Logf}
	res, err := Run(ctx, o)
	if err != nil || !res.Good() {
		t.Errorf("%+v, %v", res, err)
	}
	o.LoseSyncs, o.For = true, time.Second
	if res, err = Run(ctx, o); err != nil || res.Good() {
		t.Errorf("lost syncs went unseen: %+v, %v", res, err)
	}
}

package processrig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"cloverrock/internal/app"
)

// stallCheckInterval is the time between two measurements of the delay of this process.
const stallCheckInterval = 10 * time.Millisecond

// stallMonitor measures the longest delay of timers in this process, in milliseconds. This process runs the hosts and
// the clients, so its delays add to the latency of requests.
type stallMonitor struct{ longestMS atomic.Int64 }

// monitorStalls measures until the context ends.
func monitorStalls(ctx context.Context) *stallMonitor {
	w := &stallMonitor{}
	go func() {
		for startedAt := time.Now(); sleep(ctx, stallCheckInterval); startedAt = time.Now() {
			late := time.Since(startedAt) - stallCheckInterval
			w.longestMS.Store(max(w.longestMS.Load(), late.Milliseconds()))
		}
	}()
	return w
}

// stalls returns the longest delay of the rig and of each traced gateway, in milliseconds. A traced gateway logs its
// counts once a second.
func (r *rig) stalls() map[string]int64 {
	stalls := map[string]int64{"rig": r.stallMonitor.longestMS.Load()}
	for i := range r.gateways {
		if late, ok := r.gatewayStall(i); ok {
			stalls[fmt.Sprintf("gateway %d", i)] = late
		}
	}
	return stalls
}

// gatewayStall returns the longest delay of a gateway's log lines with counts, in milliseconds. It returns false if
// there is no such line.
func (r *rig) gatewayStall(i int) (late int64, ok bool) {
	file, err := os.Open(r.logFile(i))
	if err != nil {
		return 0, false
	}
	defer func() { _ = file.Close() }() // opened for reading only
	last := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Message string
			Time    int64
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		switch line.Message {
		case "app: serving": // a process has started
			last = line.Time
		case app.CountsMessage:
			late = max(late, line.Time-last-time.Second.Milliseconds())
			last = line.Time
			ok = true
		}
	}
	return late, ok
}

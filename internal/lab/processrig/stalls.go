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

// watchInterval is the time between two looks at the clock.
const watchInterval = 10 * time.Millisecond

// stallWatch watches how late this process, which plays hosts and clients, runs what is due.
type stallWatch struct{ longest atomic.Int64 }

// watchStalls watches until the context ends.
func watchStalls(ctx context.Context) *stallWatch {
	w := &stallWatch{}
	go func() {
		for began := time.Now(); sleep(ctx, watchInterval); began = time.Now() {
			late := time.Since(began) - watchInterval
			w.longest.Store(max(w.longest.Load(), late.Milliseconds()))
		}
	}()
	return w
}

// stalls returns by how many milliseconds the rig and each gateway were late at the most. A gateway that is traced logs its
// counts once a second.
func (r *rig) stalls() map[string]int64 {
	stalls := map[string]int64{"rig": r.stallWatch.longest.Load()}
	for i := range r.gateways {
		if late, ok := r.gatewayStall(i); ok {
			stalls[fmt.Sprintf("gateway %d", i)] = late
		}
	}
	return stalls
}

// gatewayStall returns the longest delay of a gateway's line of counts; false if there are no two of them.
func (r *rig) gatewayStall(i int) (late int64, ok bool) {
	file, err := os.Open(r.logFile(i))
	if err != nil {
		return 0, false
	}
	defer func() { _ = file.Close() }() // it was only read
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
		case "app: serving": // a process begins anew
			last = line.Time
		case app.CountsMessage:
			late = max(late, line.Time-last-time.Second.Milliseconds())
			last = line.Time
			ok = true
		}
	}
	return late, ok
}

package processrig

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTraced is the number of gateways up to which each logs the way of every request; more would disturb one another.
	maxTraced = 8
	// maxEvidenceLines bounds the log lines that are shown of one request or host.
	maxEvidenceLines = 30
)

// logFile is the file to which gateway i logs, over all its restarts. In a run with zones all log to one file.
func (r *rig) logFile(i int) string {
	if r.Zoned != nil {
		return filepath.Join(r.directory, "log")
	}
	return filepath.Join(r.directory, strconv.Itoa(i)+".log")
}

// removeDirectory removes the files of the run. Where requests were lost the logs stay, and it says where.
func (r *rig) removeDirectory() {
	if r.result.Lost > 0 {
		r.Log("the gateways' logs are in %s", r.directory)
		return
	}
	_ = os.RemoveAll(r.directory) // a directory that is left behind does no harm
}

// logRequest shows what a gateway logged of a request, by the id in its statement.
func (r *rig) logRequest(gateway, id int) {
	number := ""
	r.showLines(gateway, func(line string) bool {
		if strings.Contains(line, fmt.Sprintf(`"id":"%d"`, id)) {
			_, rest, _ := strings.Cut(line, `"request":`)
			number, _, _ = strings.Cut(rest, ",")
			return true
		}
		ofRequest := number != "" && strings.Contains(line, `"request":`+number+",")
		return ofRequest || strings.Contains(line, `"message":"app: `)
	})
}

// showLines logs the lines of a gateway's log that are wanted.
func (r *rig) showLines(gateway int, wanted func(line string) bool) {
	file, err := os.Open(r.logFile(gateway))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }() // it was only read
	shown := 0
	for lines := bufio.NewScanner(file); lines.Scan() && shown < maxEvidenceLines; {
		if wanted(lines.Text()) {
			shown++
			r.Log("gateway %d: %s", gateway, lines.Text())
		}
	}
}

// logIdleHosts shows each second in which a host was idle, and what the gateways logged of that host until then.
func (r *rig) logIdleHosts() {
	groups := map[int][]hostLog{}
	for _, host := range r.replicaLogs() {
		groups[host.group] = append(groups[host.group], host)
	}
	for group, members := range groups {
		for at := settlingTime; at+longWindow <= r.For; at += longWindow {
			window, requested := windowOf(members, at, at+longWindow)
			for i, count := range window.counts {
				if requested && window.isIdle(count) {
					r.logIdle(group, i, at, window)
				}
			}
		}
	}
}

func (r *rig) logIdle(group, replica int, at time.Duration, window groupWindow) {
	host := r.hosts[group*r.Members+1+replica].ID
	r.Log("%s idle from %v to %v: the replicas of group %d got %v; late at the most by ms: %v",
		host, at, at+longWindow, group, window.counts, r.result.Stalls)
	for i := range r.gateways {
		r.showLines(i, func(line string) bool {
			return strings.Contains(line, `"host":"`+host+`"`) && strings.Contains(line, `"level":"info"`)
		})
	}
}

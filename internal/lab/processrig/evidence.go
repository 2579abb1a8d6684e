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
	// maxTraced is the greatest number of gateways for which each logs every step of every request. More gateways would
	// slow one another down by their logging.
	maxTraced = 8
	// maxEvidenceLines is the maximum number of lines of one gateway's log that are shown for one request or host.
	maxEvidenceLines = 30
)

// logFile returns the file to which gateway i logs, including after restarts. In a run with zones all gateways log to
// the same file.
func (r *rig) logFile(i int) string {
	if r.Zoned != nil {
		return filepath.Join(r.directory, "log")
	}
	return filepath.Join(r.directory, strconv.Itoa(i)+".log")
}

// removeDirectory removes the files of the run. If requests were lost, it keeps them and logs where the gateways' logs
// are.
func (r *rig) removeDirectory() {
	if r.result.Lost > 0 {
		r.Log("the gateways' logs are in %s", r.directory)
		return
	}
	_ = os.RemoveAll(r.directory) // a remaining temporary directory does no harm
}

// logRequest shows the lines that a gateway logged of a request, and its lines on its own lifecycle. The lines of the
// request are found by the id in its statement: one line has this id and the number by which the gateway logs the
// request.
func (r *rig) logRequest(gateway, id int) {
	number := ""
	r.logMatchingLines(gateway, func(line string) bool {
		if strings.Contains(line, fmt.Sprintf(`"id":"%d"`, id)) {
			_, rest, _ := strings.Cut(line, `"request":`)
			number, _, _ = strings.Cut(rest, ",")
			return true
		}
		ofRequest := number != "" && strings.Contains(line, `"request":`+number+",")
		return ofRequest || strings.Contains(line, `"message":"app: `)
	})
}

// logMatchingLines shows the lines of a gateway's log that match, at most maxEvidenceLines of them.
func (r *rig) logMatchingLines(gateway int, matches func(line string) bool) {
	file, err := os.Open(r.logFile(gateway))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }() // opened for reading only
	shown := 0
	for lines := bufio.NewScanner(file); lines.Scan() && shown < maxEvidenceLines; {
		if matches(lines.Text()) {
			shown++
			r.Log("gateway %d: %s", gateway, lines.Text())
		}
	}
}

// logIdleHosts shows each second in which a host was idle, and the lines that the gateways logged about this host.
func (r *rig) logIdleHosts() {
	groups := map[int][]hostLog{}
	for _, host := range r.replicaLogs() {
		groups[host.group] = append(groups[host.group], host)
	}
	for group, members := range groups {
		for at := settlingTime; at+longWindow <= r.Duration; at += longWindow {
			window, requested := windowOf(members, at, at+longWindow)
			for i, count := range window.counts {
				if requested && window.isIdle(count) {
					r.logIdleHost(group, i, at, window)
				}
			}
		}
	}
}

func (r *rig) logIdleHost(group, replica int, at time.Duration, window groupWindow) {
	host := r.hosts[group*r.Members+1+replica].ID
	r.Log("%s idle from %v to %v: requests at the replicas of group %d: %v; longest delays of processes in ms: %v",
		host, at, at+longWindow, group, window.counts, r.result.Stalls)
	for i := range r.gateways {
		r.logMatchingLines(i, func(line string) bool {
			return strings.Contains(line, `"host":"`+host+`"`) && strings.Contains(line, `"level":"info"`)
		})
	}
}

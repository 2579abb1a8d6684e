package restartsoak

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	answerSlack            = 500 * time.Millisecond // an answer this long after the deadline still counts as in time
	attemptAfterDisconnect = 100 * time.Millisecond // an attempt may still begin this long after its client disconnected
	maxLogLines            = 40
)

var outcomeNames = [...]string{
	unanswered: "unanswered", served: "served", rejected: "rejected", failed: "failed", closeRace: "crossed a close",
	notAccepted: "not accepted", clientDisconnected: "client left", pendingAtEnd: "client stopped waiting",
}

// evaluate checks all requests and returns the result of the run.
func (r *run) evaluate() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &Result{Plan: r.plan, Defect: r.defect, Requests: len(r.requests), Answers: map[string]int{}}
	slices.SortFunc(r.requests, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, req := range r.requests {
		result.Answers[outcomeNames[req.outcome]]++
		problem := r.violationOf(req)
		if problem == "" {
			continue
		}
		r.faults = append(r.faults, fmt.Sprintf("request %d of class %s to process %d, sent %s: %s",
			req.id, req.class.name, req.generation, req.sentAt.Format("05.000"), problem))
		if result.FirstFaultLog == nil {
			result.FirstFaultLog = r.logLinesOf(req.id)
		}
	}
	result.Faults = r.faults
	return result
}

// violationOf describes the rule that a request violates. It returns an empty string if there is none.
func (r *run) violationOf(req *request) string {
	if n := r.executed[req.id]; n > 1 {
		return fmt.Sprintf("executed %d times", n)
	}
	if req.outcome == clientDisconnected {
		for _, arrived := range r.arrivals[req.id] {
			if delay := arrived.Sub(req.disconnectedAt); delay > attemptAfterDisconnect {
				return fmt.Sprintf("an attempt reached a host %v after its client had left", delay)
			}
		}
		return ""
	}
	switch {
	case req.outcome == unanswered, req.outcome == pendingAtEnd:
		return fmt.Sprintf("lost: no answer when its connection ended after %v", req.endedAt.Sub(req.sentAt))
	case req.outcome == closeRace && len(r.arrivals[req.id]) > 0:
		return "lost: forwarded, but its connection was closed"
	case req.endedAt.After(req.dueAt.Add(answerSlack)):
		return fmt.Sprintf("lost: answered (%s) %v after its deadline", outcomeNames[req.outcome], req.endedAt.Sub(req.dueAt))
	}
	return ""
}

// logLinesOf returns the log lines of the gateway processes about a request. They name it by the client's id or by the
// gateway's own number.
func (r *run) logLinesOf(id int) []string {
	var found []string
	for _, p := range r.started {
		if p.logFile == "" {
			continue
		}
		file, err := os.Open(p.logFile)
		if err != nil {
			continue
		}
		found = append(found, linesOf(file, id)...)
		_ = file.Close() // it was only read
	}
	return found[:min(len(found), maxLogLines)]
}

func linesOf(file *os.File, id int) []string {
	var found []string
	requestField := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if strings.Contains(line, fmt.Sprintf(`"id":"%d"`, id)) {
			_, rest, _ := strings.Cut(line, `"request":`)
			number, _, _ := strings.Cut(rest, ",")
			requestField = `"request":` + number + ","
			found = append(found, line)
		} else if requestField != "" && strings.Contains(line, requestField) || strings.Contains(line, `"message":"app: `) {
			found = append(found, line)
		}
	}
	return found
}

package processrig

import "slices"

// Result is the result of a run.
type Result struct {
	Gateways int    `json:"gateways"`
	Hosts    int    `json:"hosts"`
	Seed     uint64 `json:"seed"`
	Plan     string `json:"plan"`
	PlanHash string `json:"plan_hash"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Lost counts requests without an answer from a gateway that was neither stopped nor killed during the request.
	// Disturbed counts requests without an answer from a gateway that was.
	Lost        int `json:"lost"`
	Disturbed   int `json:"disturbed"`
	LateAnswers int `json:"late"` // answers after the deadline of their request
	// ClosedNewConnections counts connections that were closed before their first answer. Their requests count as
	// rejected.
	ClosedNewConnections int     `json:"closed_new"`
	Resent               int     `json:"sent_again"` // requests sent again because an idle connection closed meanwhile
	Killed               int     `json:"killed"`     // gateways whose graceful shutdown took too long
	InTime               float64 `json:"in_time"`    // fraction of the requests' weight that was earned
	Rejected             int     `json:"refused"`
	Spread               Spread  `json:"spread"`
	PeerBytes            float64 `json:"peer_bytes_per_request"`
	PeerMessages         int     `json:"peer_messages"`
	PeerLost             int     `json:"peer_lost"`
	CPU                  float64 `json:"cpu_ms_per_request"`
	StillRunning         int     `json:"gateways_left"` // gateways that did not end after SIGKILL
	EndedByThemselves    int     `json:"gateways_died"` // gateways that had ended before the end of the run
	Events               []Event `json:"events"`
	SettlingMS           int64   `json:"settling_ms"`
	// Stalls are the longest delays of processes, in milliseconds: of this process ("rig") and of each traced gateway.
	Stalls map[string]int64 `json:"stalls_ms"`

	Zone           *ZoneResult `json:"zone,omitempty"`
	MaxHerdWindows int         `json:"herd_windows_at_most"` // limit of the check of Spread.HerdWindows
	MaxCV1s        float64     `json:"cv_1s_at_most"`        // limit of the check of Spread.CV1s
}

// minNewConnectionsPerClose is the least number of requests per new connection that was closed without an answer.
const minNewConnectionsPerClose = 200

// FailedChecks returns the names of the checks that the run failed, sorted.
func (r *Result) FailedChecks() []string {
	return failedChecks(map[string]bool{
		"requests were lost":                         r.Lost > 0,
		"hosts were idle":                            r.Spread.IdleSeconds > 0,
		"more herds than chance and half as many":    r.Spread.HerdWindows > r.MaxHerdWindows,
		"twice as uneven over a second as by chance": r.Spread.CV1s > r.MaxCV1s,
		"gateways ended by themselves or survived":   r.EndedByThemselves > 0 || r.StillRunning > 0,
		"gateways did not shut down in time":         r.Killed > 0,
		"one new connection in 200 got no answer":    r.ClosedNewConnections*minNewConnectionsPerClose > r.Requests,
	})
}

// FailedZoneChecks returns the names of the checks that a run with zones failed. If alone is set, gateways decide for
// themselves, and the checks of joint decisions are left out.
func (r *Result) FailedZoneChecks(alone bool) []string {
	var faults []string
	if r.Lost > 0 {
		faults = append(faults, "requests were lost")
	}
	if r.EndedByThemselves > 0 || r.StillRunning > 0 {
		faults = append(faults, "gateways ended by themselves or survived")
	}
	if alone {
		return faults
	}
	return append(faults, r.Zone.failedPlanChecks(r.Plan, r.Gateways)...)
}

// failedChecks returns the names of the failed checks, whose value is true, sorted.
func failedChecks(checks map[string]bool) []string {
	var faults []string
	for name, found := range checks {
		if found {
			faults = append(faults, name)
		}
	}
	slices.Sort(faults)
	return faults
}

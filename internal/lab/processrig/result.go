package processrig

import "slices"

// Result of a run.
type Result struct {
	Gateways int    `json:"gateways"`
	Hosts    int    `json:"hosts"`
	Seed     uint64 `json:"seed"`
	Plan     string `json:"plan"`
	PlanHash string `json:"plan_hash"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Lost requests got no answer from a gateway that was neither stopped nor killed meanwhile, Disturbed ones none from a
	// gateway that was.
	Lost        int `json:"lost"`
	Disturbed   int `json:"disturbed"`
	LateAnswers int `json:"late"` // after their deadline
	// ClosedNewConnections were closed before their first answer; their requests count as rejected.
	ClosedNewConnections int     `json:"closed_new"`
	Resent               int     `json:"sent_again"` // requests that crossed the close of an idle connection
	Killed               int     `json:"killed"`     // gateways whose graceful shutdown took too long
	InTime               float64 `json:"in_time"`    // of all, by weight
	Rejected             int     `json:"refused"`
	Spread               Spread  `json:"spread"`
	PeerBytes            float64 `json:"peer_bytes_per_request"`
	PeerMessages         int     `json:"peer_messages"`
	PeerLost             int     `json:"peer_lost"`
	CPU                  float64 `json:"cpu_ms_per_request"`
	StillRunning         int     `json:"gateways_left"` // after they were killed
	EndedByThemselves    int     `json:"gateways_died"`
	Events               []Event `json:"events"`
	SettlingMS           int64   `json:"settling_ms"`
	// Stalls are by how many milliseconds processes were late at the most: this one, and each gateway that is traced.
	Stalls map[string]int64 `json:"stalls_ms"`

	Zone        *ZoneResult `json:"zone,omitempty"`
	HerdsAtMost int         `json:"herd_windows_at_most"`
	CVAtMost    float64     `json:"cv_1s_at_most"`
}

// newConnectionsPerClose is the least number of requests for each new connection that was closed without an answer.
const newConnectionsPerClose = 200

// Faults returns the names of the checks that the run failed, sorted.
func (r *Result) Faults() []string {
	return faultsOf(map[string]bool{
		"requests were lost":                         r.Lost > 0,
		"hosts were idle":                            r.Spread.IdleSeconds > 0,
		"more herds than chance and half as many":    r.Spread.HerdWindows > r.HerdsAtMost,
		"twice as uneven over a second as by chance": r.Spread.CV1s > r.CVAtMost,
		"gateways ended by themselves or survived":   r.EndedByThemselves > 0 || r.StillRunning > 0,
		"gateways did not shut down in time":         r.Killed > 0,
		"one new connection in 200 got no answer":    r.ClosedNewConnections*newConnectionsPerClose > r.Requests,
	})
}

// ZoneFaults returns the names of the checks that a run with zones failed. With alone set, the checks of joint decisions
// are left out.
func (r *Result) ZoneFaults(alone bool) []string {
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
	return append(faults, r.Zone.faultsOfPlan(r.Plan, r.Gateways)...)
}

// faultsOf returns the names of the checks that are true.
func faultsOf(checks map[string]bool) []string {
	var faults []string
	for name, found := range checks {
		if found {
			faults = append(faults, name)
		}
	}
	slices.Sort(faults)
	return faults
}

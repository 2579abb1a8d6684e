package emulator

import "time"

// Class describes a request class.
type Class struct {
	Name             string
	Share            float64 // fraction of all requests
	LatencyObjective time.Duration
	Deadline         time.Duration
	PriorityWeight   float64
	LateWeightShare  float64 // fraction of the weight earned by an answer between the objective and the deadline
	Write            bool
	Session          bool // reads that must return the earlier writes of their session
}

// Classes lists the request classes of the emulated deployment.
var Classes = [...]Class{
	{
		Name: "zone-lookup", Share: 0.58, PriorityWeight: 1,
		LatencyObjective: 300 * time.Millisecond, Deadline: 750 * time.Millisecond,
	},
	{
		Name: "own-zone-read", Share: 0.32, PriorityWeight: 1, Session: true,
		LatencyObjective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond,
	},
	{
		Name: "zone-change", Share: 0.10, PriorityWeight: 3, LateWeightShare: 0.7, Write: true,
		LatencyObjective: 500 * time.Millisecond, Deadline: 3 * time.Second,
	},
}

// deduplicationWindowMs is the window within which a host recognizes a repeated idempotency key, in milliseconds.
const deduplicationWindowMs = 5000

// ClassSettings returns the classes in the form of a gateway's configuration.
func ClassSettings() []map[string]any {
	var settings []map[string]any
	for _, class := range Classes {
		repeat := "read_like"
		if class.Write {
			repeat = "non_idempotent"
		}
		settings = append(settings, map[string]any{
			"name":       class.Name,
			"aimMs":      class.LatencyObjective.Milliseconds(),
			"deadlineMs": class.Deadline.Milliseconds(),
			"worth":      class.PriorityWeight,
			"lateWorth":  class.LateWeightShare,
			"repeat":     repeat,
			"group":      "all",
			"windowMs":   deduplicationWindowMs,
		})
	}
	return settings
}

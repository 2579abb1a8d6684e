package emulator

// PlatformSettings returns the settings object of a gateway's configuration, for a single gateway without zones. The caller
// may modify it.
func PlatformSettings() map[string]any {
	return map[string]any{
		"tickMs":  5.0,
		"classes": ClassSettings(),
		"extra": map[string]any{
			"classRead":        []string{"recent", "own_writes", "update"},
			"stalenessBoundMs": []int{500, 0, 0},
			"serverChecks":     "none",
			"tokens":           "client",
		},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "source": "answers"},
		"limits": map[string]any{
			"cancel": true, "probes": true, "dialTimeoutMs": 250, "idleCloseMs": 30000,
			"maxAttempts": 10, "maxRetryAfterMs": 1000,
		},
		"obligations": map[string]any{
			"coldFrom": 0.25, "coldMs": 16000, "drainGraceMs": 1000, "fallMultiple": 4, "overloadForMs": 1500,
		},
	}
}

// Endpoint returns a host's entry in the endpoint list. The entry is in group 1 and has no zone.
func Endpoint(host *Host, primary bool) map[string]any {
	rank := "copy"
	if primary {
		rank = "source"
	}
	return map[string]any{
		"instanceId": host.ID, "hostPort": host.Address(), "cell": 1, "lifecycle": "SERVING", "rank": rank,
	}
}

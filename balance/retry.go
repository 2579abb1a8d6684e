package balance

const (
	retryTokensPerRequest = 0.1  // low, so that retries cannot amplify an overload
	maxRetryTokens        = 20.0 // reserve for the retries after a crash
	retryCost             = 1.0  // tokens

	retryAfterJitterDivisor = 8 // clients of shed reads retry within the last eighth of the longest wait
)

// handleFailedAttempt decides what follows an attempt that did not succeed: a retry or the final answer.
func (r *Router) handleFailedAttempt(req *pendingRequest, result Result) {
	notExecuted := result.ProvesNotExecuted()
	if result != ConnectionRefused && result != NotSent {
		req.reachedHost = true
	}
	if !notExecuted {
		req.recordPossibleExecution(req.lastHost)
	}
	if req.attemptsSent >= r.settings.MaxAttempts {
		r.giveUp(req)
		return
	}
	if !notExecuted {
		if req.class.RetrySafety == NonIdempotent || !r.retryBudget.covers(retryCost) {
			r.giveUp(req)
			return
		}
		r.retryBudget.withdraw(retryCost)
	}
	r.enqueue(req)
}

// deduplicationLapsed reports whether a request with an idempotency key that may have been executed is too
// old to be repeated: a repeat sent now might arrive after its deduplication window.
func (r *Router) deduplicationLapsed(req *pendingRequest, now int64) bool {
	if !req.mayHaveExecuted() || req.class.RetrySafety != IdempotencyKey {
		return false
	}
	return now+r.maintenanceInterval() >= req.execution.sentAt+req.class.DeduplicationWindow
}

// handleClientDisconnected ends a request whose client has disconnected.
func (r *Router) handleClientDisconnected(event *Event) {
	req := r.requests[event.Request]
	if req == nil {
		return
	}
	if req.host != nil && r.settings.Cancellation {
		r.emit(Action{Kind: CancelAction, Request: req.id, Attempt: req.attempt})
	}
	r.finish(req)
}

// giveUp emits the final answer: a rejection if the client may repeat the request, otherwise a failure.
func (r *Router) giveUp(req *pendingRequest) {
	if req.repeatIsHarmless() {
		r.emit(Action{Kind: RejectAction, Request: req.id, RetryAfter: r.retryAfter(req)})
	} else {
		r.emit(Action{Kind: FailAction, Request: req.id})
	}
	r.finish(req)
}

// repeatIsHarmless reports whether the client can safely try again, which a rejection promises: the request
// was not executed, or a repeat is harmless on any host.
func (req *pendingRequest) repeatIsHarmless() bool {
	if !req.mayHaveExecuted() || req.class.RetrySafety == Idempotent {
		return true
	}
	return req.class.RetrySafety == IdempotencyKey && req.class.DeduplicationScope == ScopeGlobal
}

// retryAfter returns the time in µs that a rejected client should wait. The client of a shed read waits
// nearly as long as the settings allow, since an immediate retry would defeat the shedding. The jitter
// spreads the retries.
func (r *Router) retryAfter(req *pendingRequest) int64 {
	longest := r.settings.MaxRetryAfter
	if req.shed {
		return longest - r.rand.Below(longest/retryAfterJitterDivisor)
	}
	return min(req.class.LatencyObjective/2, longest)
}

// finish marks a request as needing no further action, and removes it once its last attempt has ended.
func (r *Router) finish(req *pendingRequest) {
	req.finished = true
	if req.host == nil {
		delete(r.requests, req.id)
	}
}

package balance

// requestBudget limits retries or health checks in proportion to requests. Each request adds tokensPerRequest
// tokens.
type requestBudget struct {
	tokens           float64
	tokensPerRequest float64 // tokens that a request adds
	capacity         float64 // upper limit of tokens
}

// newRequestBudget returns a full budget.
func newRequestBudget(perRequest, capacity float64) requestBudget {
	return requestBudget{tokens: capacity, tokensPerRequest: perRequest, capacity: capacity}
}

// deposit adds the tokens of one request.
func (b *requestBudget) deposit() { b.tokens = min(b.capacity, b.tokens+b.tokensPerRequest) }

// covers reports whether the budget covers a cost in tokens.
func (b *requestBudget) covers(cost float64) bool { return b.tokens >= cost }

// withdraw removes tokens. The caller must have checked with covers that they are available.
func (b *requestBudget) withdraw(cost float64) { b.tokens -= cost }

// tokenBucket is a budget that is refilled at a rate over time.
type tokenBucket struct {
	tokens     float64
	refilledAt int64
}

// refill adds the tokens since the last refill, at a rate in tokens per second, up to a capacity.
func (b *tokenBucket) refill(now int64, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*float64(now-b.refilledAt)/second)
	b.refilledAt = now
}

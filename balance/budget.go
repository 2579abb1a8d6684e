package balance

// requestBudget limits what is done beside first attempts. Each request earns a part of a token.
type requestBudget struct {
	tokens     float64
	perRequest float64 // tokens that a request earns
	capacity   float64 // tokens that can be saved up
}

// newRequestBudget returns a full budget.
func newRequestBudget(perRequest, capacity float64) requestBudget {
	return requestBudget{tokens: capacity, perRequest: perRequest, capacity: capacity}
}

// earn adds what one request earns.
func (b *requestBudget) earn() { b.tokens = min(b.capacity, b.tokens+b.perRequest) }

// has reports whether the budget covers a cost in tokens.
func (b *requestBudget) has(cost float64) bool { return b.tokens >= cost }

// spend takes tokens; has must have reported that they are there.
func (b *requestBudget) spend(cost float64) { b.tokens -= cost }

// tokenBucket is a budget that fills with time.
type tokenBucket struct {
	tokens     float64
	refilledAt int64
}

// refill adds what has been earned since the last refill, at a rate in tokens per second, up to a capacity.
func (b *tokenBucket) refill(now int64, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*float64(now-b.refilledAt)/second)
	b.refilledAt = now
}

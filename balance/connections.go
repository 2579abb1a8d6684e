package balance

const (
	maxIdleTimeout           = 30e6 // µs; idle timeout while no host's connection table is full
	idleTimeoutGrowthDivisor = 20   // a shortened idle timeout divided by this is its growth per second
	fullTableRefusals        = 2    // refused dials in a row that mark a connection table as full
)

// hostConnections is the state of this gateway's connections to a host.
type hostConnections struct {
	connected    bool // there may be open connections
	refusedDials int  // new connections that were refused at once, in a row
}

// closeIdleConnections closes a host's connections that have been idle for longer than the idle timeout.
func (r *Router) closeIdleConnections(host *hostState) {
	idle := host.connected && len(host.inFlight) == 0
	if idle && r.now-host.lastContactAt > r.idleTimeout {
		host.connected = false
		r.emit(Action{Kind: CloseIdleAction, Host: host.id})
	}
}

// hasFullTable reports whether the host refused several dials in a row. A single one may be a link failure.
func (c *hostConnections) hasFullTable() bool { return c.refusedDials >= fullTableRefusals }

// recordBrokenConnection records a refused dial or a reset connection. A host with a full connection table
// refuses new connections at once and does not reset open ones. Slow refusals, resets, and refusals beside an
// open connection have another cause, such as a bad link.
func (r *Router) recordBrokenConnection(host *hostState, req *pendingRequest, event *Event) {
	dialed := req != nil && req.dialed
	quick := event.Latency < r.settings.DialTimeout/2
	if event.Result == ConnectionRefused && dialed && quick {
		host.refusedDials++
	} else {
		host.refusedDials = 0
		r.idleTimeout = min(2*r.idleTimeout, maxIdleTimeout)
	}
	if host.hasFullTable() {
		r.pauseHost(host)
	}
	host.connected = false
	r.markSuspect(host)
}

// freeConnectionTable shortens the idle timeout if a host that has answered had refused several dials before:
// its connection table is full, and closing idle connections sooner frees entries in it.
func (r *Router) freeConnectionTable(host *hostState) {
	if host.hasFullTable() {
		host.refusedDials = 0
		r.idleTimeout = max(r.idleTimeout/2, r.maintenanceInterval())
	}
}

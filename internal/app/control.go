package app

import (
	"cloverrock/balance"
	"cloverrock/internal/config"
	"cloverrock/internal/discovery"
	"cloverrock/internal/gateway"
)

// call runs f on the loop's goroutine and waits until it has returned. It returns false if the loop ends first.
func (s *server) call(f func()) bool {
	done := make(chan struct{})
	s.loop.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-s.loop.Done():
		return false
	}
}

// Snapshot implements Gateway.
func (s *server) Snapshot() (balance.Snapshot, discovery.EndpointList, bool) {
	var snapshot balance.Snapshot
	var endpoints discovery.EndpointList
	ok := s.call(func() {
		snapshot = s.gateway.Snapshot()
		endpoints = s.endpoints.Clone()
	})
	if !ok {
		return balance.Snapshot{}, discovery.EndpointList{}, false
	}
	return snapshot, endpoints, true
}

// Restore implements Gateway.
func (s *server) Restore(snapshot balance.Snapshot, endpoints *discovery.EndpointList) {
	s.loop.Post(func() {
		if endpoints != nil {
			s.restoreEndpoints(endpoints)
		}
		s.gateway.Restore(snapshot)
	})
}

// restoreEndpoints applies a list if it is newer than the current one. While the gateway still waits for discovery's
// first list, a newer list replaces the known list of the configuration, which is used if discovery does not answer.
func (s *server) restoreEndpoints(endpoints *discovery.EndpointList) {
	known := s.conf.KnownEndpoints
	waitsForDiscovery := known != nil && !s.gateway.Ready()
	if waitsForDiscovery {
		if endpoints.Generation > known.Generation {
			s.conf.KnownEndpoints = endpoints
		}
		return
	}
	if endpoints.Generation > s.endpoints.Generation {
		s.endpointsUpdated(*endpoints)
	}
}

// ObserveOutcomes implements Gateway.
func (s *server) ObserveOutcomes(f func(host string, class int, o gateway.Outcome)) {
	s.loop.Post(func() { s.gateway.ObserveOutcomes(f) })
}

// SetZoneShares implements Gateway.
func (s *server) SetZoneShares(v balance.ZoneShares) {
	s.loop.Post(func() { s.gateway.SetZoneShares(v) })
}

// Reload implements Gateway.
func (s *server) Reload(conf *config.Config, err error) (restart []string, ok bool) {
	var keys []string
	if !s.call(func() { keys = s.reload(conf, err) }) {
		return nil, false
	}
	return keys, true
}

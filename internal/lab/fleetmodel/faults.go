package fleetmodel

const (
	failoverTime      = 3 * second         // from the outage until the groups that lost their primaries have new ones
	endpointListDelay = 1500 * millisecond // from the return of the hosts until the gateways receive the new endpoint list
	minRestartTime    = second             // shortest time that a killed gateway is down
	restartTimeRange  = float64(second)    // range of that time beyond minRestartTime
)

// startOutage crashes a random part of the hosts, primaries included, and restarts them in slow start.
func (s *simulation) startOutage() {
	var lost []*host
	for _, candidate := range s.hosts {
		if s.random.Float64() < s.options.OutagePart {
			lost = append(lost, candidate)
			s.crash(candidate)
		}
	}
	back := int64(s.options.OutageFor) * second
	s.schedule(failoverTime, s.failOver)
	s.schedule(back, func() {
		for _, returned := range lost {
			returned.up = true
			returned.startedAt = s.now
			returned.advancedTo = s.now
		}
	})
	s.schedule(back+endpointListDelay, func() {
		for i, receiver := range s.gateways {
			if receiver.up {
				s.sendEndpoints(i)
			}
		}
	})
}

func (s *simulation) crash(crashed *host) {
	s.advance(crashed)
	crashed.up = false
	crashed.queue = nil
	crashed.running = nil
	clear(crashed.idleConnections)
}

// failOver makes the first host that is up the primary of each group whose primary is down.
func (s *simulation) failOver() {
	for group, old := range s.primary {
		for _, candidate := range s.hosts {
			if !old.up && candidate.group == group && candidate.up {
				s.primary[group] = candidate
				break
			}
		}
	}
}

// startRelease kills a random part of the gateways and starts them again.
func (s *simulation) startRelease() {
	for i, killed := range s.gateways {
		if s.random.Float64() >= s.options.ReleasePart {
			continue
		}
		killed.up = false
		s.schedule(minRestartTime+int64(s.random.Float64()*restartTimeRange), func() {
			_ = s.startGateway(i) // New accepted the same settings at the start of the run
		})
	}
}

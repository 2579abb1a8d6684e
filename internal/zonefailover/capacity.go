package zonefailover

// updateBaselines records the lowest mean response time of each zone, taken as its response time without load.
func (s *State) updateBaselines() {
	for i := range s.zones {
		_, latencyShare, measured := totalLoad(s.votes, i)
		if measured && (s.baseline[i] == 0 || latencyShare < s.baseline[i]) {
			s.baseline[i] = latencyShare
		}
	}
}

// isOtherZoneLoaded reports whether a zone other than i responds more slowly than its baseline. Without such a zone
// the capacity of the other zones cannot be estimated.
func (s *State) isOtherZoneLoaded(i int) bool {
	for other, baseline := range s.baseline {
		_, latencyShare, measured := totalLoad(s.votes, other)
		if other != i && measured && latencyShare > baseline {
			return true
		}
	}
	return false
}

// shareToKeep returns the share of a zone, in hundredths, that has to remain in use because the other zones lack the
// capacity for its load.
//
// In processor sharing a host with utilization u takes 1/(1-u) times as long to answer as an idle one. A zone's
// utilization is therefore 1 - baseline/response time, and the highest utilization allowed follows from MaxLatencyShare
// in the same way.
func (s *State) shareToKeep(i int) byte {
	if !s.conf.CheckCapacity {
		return 0
	}
	var load, spareCapacity float64 // in tenths of a request per second
	for other := range s.zones {
		requestRate, latencyShare, measured := totalLoad(s.votes, other)
		if other == i {
			load = requestRate
			continue
		}
		baseline := s.baseline[other]
		if !measured || requestRate == 0 || baseline == 0 || latencyShare <= baseline {
			continue
		}
		utilization := 1 - baseline/latencyShare
		maxUtilization := 1 - baseline/s.conf.MaxLatencyShare
		spareCapacity += float64(requestRate * max(maxUtilization/utilization-1, 0))
	}
	fits := load == 0 || spareCapacity >= load
	if fits || len(s.zones) < 2 || !s.isOtherZoneLoaded(i) {
		return 0
	}
	return byte(FullShare * (1 - spareCapacity/load))
}

package fleet

import (
	"testing"
)

// A zone that was added to the configuration later has no share and is used in full.
func TestZoneWithoutAShareIsUsedInFull(t *testing.T) {
	s := &zoneShares{}
	s.shares.Store(&[]byte{0, 40})
	for zone, want := range []float64{0, 0.4, 1} {
		if got := s.ReadShare(zone); got != want {
			t.Errorf("zone %d: share %v", zone, got)
		}
	}
}

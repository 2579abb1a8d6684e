package fleet

import (
	"testing"

	"cloverrock/balance"
)

// A zone that was added to the configuration later, or that is not known, has no share and is used in full.
func TestZoneWithoutAShareIsUsedInFull(t *testing.T) {
	s := &zoneShares{}
	s.shares.Store(&[]byte{0, 40})
	for zone, want := range map[int]float64{0: 0, 1: 0.4, 2: 1, balance.UnknownZone: 1} {
		if got := s.ReadShare(zone); got != want {
			t.Errorf("zone %d: share %v", zone, got)
		}
	}
}

package fleet

import "fmt"

// ZonesError is a deployment with too few zones for zone failover.
type ZonesError struct{ Zones int }

func (e *ZonesError) Error() string {
	return fmt.Sprintf("fleet.zones: the configuration names %d zones", e.Zones)
}

// Remedy says what an operator can do.
func (e *ZonesError) Remedy() string {
	return "take fleet.zones out of the settings file, or name two zones or more in settings.zones of the configuration"
}

// PinError is an override of a zone that does not exist.
type PinError struct {
	Zone  string
	Known []string
}

func (e *PinError) Error() string {
	return fmt.Sprintf("fleet.zones.pin.%s: no such zone; there are %v", e.Zone, e.Known)
}

// Remedy says what an operator can do.
func (e *PinError) Remedy() string { return "correct the name in the settings file, and send SIGHUP" }

package fleet

import "fmt"

// ZonesError reports a deployment with too few zones for zone failover.
type ZonesError struct{ Zones int }

func (e *ZonesError) Error() string {
	return fmt.Sprintf("fleet.zones: the configuration names %d zones, zone failover needs at least 2", e.Zones)
}

// Remedy returns what an operator can do.
func (e *ZonesError) Remedy() string {
	return "remove fleet.zones from the settings file, or name at least two zones in settings.zones of the configuration"
}

// PinError reports an override of a zone that does not exist.
type PinError struct {
	Zone  string
	Known []string
}

func (e *PinError) Error() string {
	return fmt.Sprintf("fleet.zones.pin.%s: unknown zone, expected one of %v", e.Zone, e.Known)
}

// Remedy returns what an operator can do.
func (e *PinError) Remedy() string { return "correct the name in the settings file, and send SIGHUP" }

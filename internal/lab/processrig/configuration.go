package processrig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"cloverrock/internal/lab/emulator"
)

// object is a JSON object.
type object = map[string]any

// Generations of the endpoint lists.
const (
	initialGeneration = 6
	fullGeneration    = 7
)

// endpointLists holds the endpoint lists that the emulated discovery services publish, encoded as JSON.
type endpointLists struct {
	full string
	// initial lacks the last host of each group in plan "join" and with BreakSubsetFixed; otherwise it equals full.
	initial string
	// ofOddGateways is published after initial to the gateways with odd numbers.
	ofOddGateways string
}

func (r *rig) makeLists() (endpointLists, error) {
	endpoints := r.endpoints()
	var withoutLast []object
	for i, endpoint := range endpoints {
		if !r.isLastOfGroup(i) {
			withoutLast = append(withoutLast, endpoint)
		}
	}
	var lists endpointLists
	var err error
	if lists.full, err = encodeList(fullGeneration, endpoints); err != nil {
		return lists, err
	}
	lists.initial = lists.full
	if r.Plan == "join" || r.Defect == BreakSubsetFixed {
		if lists.initial, err = encodeList(initialGeneration, withoutLast); err != nil {
			return lists, err
		}
	}
	lists.ofOddGateways = lists.initial
	if r.Zoned != nil && r.Zoned.SecondAddresses {
		lists.ofOddGateways, err = r.listOfSecondAddresses(endpoints)
	}
	return lists, err
}

func (r *rig) endpoints() []object {
	var endpoints []object
	for i, host := range r.hosts {
		endpoint := emulator.Endpoint(host, r.isPrimary(i))
		endpoint["cell"] = 1 + i/r.Members
		endpoint["zone"] = r.zoneName(i)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func (r *rig) listOfSecondAddresses(endpoints []object) (string, error) {
	for i, host := range r.hosts {
		address, err := host.ListenOnSecondAddress()
		if err != nil {
			return "", err
		}
		endpoints[i]["hostPort"] = address
	}
	return encodeList(fullGeneration, endpoints)
}

func encodeList(generation int, endpoints []object) (string, error) {
	text, err := json.Marshal(object{"generation": generation, "reset": true, "instances": endpoints})
	return string(text), err
}

// zoneName returns the name of the zone of host i, and also of gateway i: both are assigned to the zones in turn.
func (r *rig) zoneName(i int) string {
	if r.Zoned == nil {
		return ""
	}
	return "z" + strconv.Itoa(i%r.Zoned.Zones)
}

// writeFiles writes the configuration file and, if the gateways take joint decisions, the settings file of gateway i.
func (r *rig) writeFiles(i int) error {
	if r.Zoned != nil && !r.Zoned.DecideAlone {
		r.gateways[i].settingsFile = filepath.Join(r.directory, fmt.Sprintf("%d-settings.json", i))
		if err := writeJSON(r.gateways[i].settingsFile, r.fleetSettings(i)); err != nil {
			return err
		}
	}
	return writeJSON(r.gateways[i].configFile, r.configuration(i))
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func (r *rig) configuration(i int) object {
	gateway := r.gateways[i]
	configuration := object{
		"name":      fmt.Sprintf("n%d", i),
		"listen":    gateway.listen,
		"discovery": r.discoveries[i].Address(),
		"seed":      strconv.FormatUint(r.Seed*1000+uint64(i), 16),
		"limits":    object{"memory_mb": 64, "sockets": 512},
		"known":     json.RawMessage(r.lists.initial),
		"settings":  r.platformSettings(i),
	}
	if r.Policy != PolicyRandom {
		configuration["peer_listen"] = gateway.peer
		configuration["peers"] = r.datagrams.addresses()
		configuration["peers_all"] = r.datagrams.broadcastAddress()
	}
	return configuration
}

func (r *rig) platformSettings(i int) object {
	settings := emulator.PlatformSettings()
	settings["balancers"] = r.Gateways
	settings["ordinal"] = i
	settings["costs"] = object{"peer": 0.012}
	settings["limits"].(object)["mayTell"] = true
	if r.Zoned != nil {
		var names []string
		for zone := range r.Zoned.Zones {
			names = append(names, r.zoneName(zone))
		}
		settings["zones"] = names
		settings["zone"] = i % r.Zoned.Zones
		settings["obligations"].(object)["coldMs"] = slowStartTime.Milliseconds()
	}
	return settings
}

// fleetSettings returns the settings by which gateway i takes part in the joint decisions on zones.
func (r *rig) fleetSettings(i int) object {
	const joinAtMost = 3
	zones := object{"away_ms": 3000, "step_ms": r.Zoned.StepMS, "delay_ms": 500}
	if r.Zoned.SkippedRule != "" {
		zones["without"] = []string{r.Zoned.SkippedRule}
	}
	var join []string
	for other := range min(joinAtMost, len(r.gateways)) {
		join = append(join, r.gateways[other].fleet)
	}
	return object{"fleet": object{
		"listen": r.gateways[i].fleet, "join": join, "relay": r.fleetRelay.address(i), "zones": zones,
	}}
}

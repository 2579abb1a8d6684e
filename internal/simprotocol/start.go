// Package simprotocol translates between the simulator's line protocol and the types of package balance. ParseLine splits
// a line, ParseStart and Codec decode messages to an instance, and AppendAction encodes an action of an instance. The
// protocol's names are defined here; cmd/simadapter repeats only the words that begin lines.
package simprotocol

import (
	"encoding/json"
	"strconv"

	"cloverrock/balance"
)

// ParseStart reads a start line: the instance's settings, its random seed, and the origin of log positions on its clock
// in microseconds. The error is a *LineError.
func ParseStart(l Line) (settings balance.Settings, seed uint64, positionOrigin int64, err error) {
	seed, err = parseSeed(l)
	if err != nil {
		return balance.Settings{}, 0, 0, err
	}
	var options Options
	if err := json.Unmarshal(l.GetToEnd("options"), &options); err != nil {
		return balance.Settings{}, 0, 0, l.errorf("invalid options: %w", err)
	}
	settings, positionOrigin = options.Settings()
	return settings, seed, positionOrigin, nil
}

// parseSeed reads a seed, which may be written as a signed number; an absent one is 0.
func parseSeed(l Line) (uint64, error) {
	b := l.Get("entropy")
	if b == nil {
		return 0, nil
	}
	seed, err := strconv.ParseUint(string(b), 10, 64)
	if err == nil {
		return seed, nil
	}
	signed, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return 0, l.errorf("entropy is %q, want an integer of 64 bits", b)
	}
	return uint64(signed), nil
}

// Package simprotocol encodes and decodes the simulator's line protocol: it translates between the protocol's names and the
// types of package balance, and takes no decisions. ParseLine splits a line, ParseStart and Codec decode messages to an
// instance, and AppendAction encodes what an instance does. The names of the protocol appear in this package only.
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
	if err := json.Unmarshal(l.Rest("options"), &options); err != nil {
		return balance.Settings{}, 0, 0, l.errorf("bad options: %w", err)
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
		return 0, l.errorf("bad seed %q", b)
	}
	return uint64(signed), nil
}

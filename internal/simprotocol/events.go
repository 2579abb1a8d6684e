package simprotocol

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"

	"cloverrock/balance"
)

// maxLists is how many numbered endpoint lists the simulator uses.
const maxLists = 16

// noList is Codec.filling while no list is being read.
const noList = -1

// Codec decodes events. It holds the state that spans lines: numbered endpoint lists and interned host names. It is not
// safe for concurrent use.
type Codec struct {
	hostNames map[string]string
	lists     [maxLists][]balance.Endpoint
	filling   int // number of the list that receives the next endpoints, or noList
	missing   int // number of endpoints that are still to come
}

// NewCodec returns a codec without lists.
func NewCodec() *Codec { return &Codec{hostNames: map[string]string{}, filling: noList} }

// intern returns the one copy of a host's name.
func (c *Codec) intern(b []byte) string {
	if name, ok := c.hostNames[string(b)]; ok {
		return name
	}
	name := string(b)
	c.hostNames[name] = name
	return name
}

// results maps the protocol's names for the results of attempts.
var results = map[string]balance.Result{
	"done":         balance.Succeeded,
	"err":          balance.Failed,
	"busy":         balance.Overloaded,
	"etimedout":    balance.TimedOut,
	"econnrefused": balance.ConnectionRefused,
	"econnreset":   balance.ConnectionReset,
	"ecanceled":    balance.Canceled,
	"skipped":      balance.NotSent,
	"enoent":       balance.NotPrimary,
}

// ErrUnknownMessage reports a message of an unknown type. The caller should skip the line.
var ErrUnknownMessage = errors.New("unknown message")

// ParseInstance returns the number of the instance to which a line is addressed.
func ParseInstance(l Line) (int, error) {
	b := l.Get("who")
	n, err := strconv.Atoi(string(b))
	if err != nil {
		return 0, l.errorf("no instance in %q", b)
	}
	return n, nil
}

// ParseClock returns the time of a batch in microseconds.
func ParseClock(l Line) (int64, error) {
	b := l.Get("wallMs")
	us, ok := parseMilliseconds(b)
	if !ok {
		return 0, l.errorf("bad clock %q", b)
	}
	return us, nil
}

// BeginList begins a numbered endpoint list, whose endpoints follow line by line.
func (c *Codec) BeginList(l Line) error {
	r := valueReader{line: l}
	number := r.int("buffer")
	count := r.int("records")
	c.filling = noList
	if r.err != nil {
		return r.err
	}
	if number < 0 || number >= maxLists || count < 0 {
		return l.errorf("no list %d with %d entries", number, count)
	}
	c.filling = int(number)
	c.missing = int(count)
	c.lists[number] = nil // its memory may still be in use by events
	return nil
}

// AddEndpoint appends an endpoint to the list that was begun last. The protocol numbers states as package balance does.
func (c *Codec) AddEndpoint(l Line) error {
	if c.filling == noList || c.missing == 0 {
		return l.errorf("an entry outside a list")
	}
	c.missing--
	r := valueReader{line: l}
	endpoint := balance.Endpoint{
		Host:      c.intern(l.Get("host")),
		Zone:      int(r.int("rackZone")),
		Group:     r.int("cluster"),
		Kind:      int(r.int("generationHw")),
		State:     balance.EndpointState(r.int("phase")),
		Primary:   r.bool("isPrimary"),
		StartedAt: r.milliseconds("bornMs"),
	}
	if b := l.Get("units"); b != nil {
		weight, ok := parseFloat(b)
		if !ok {
			r.fail("units", b)
		}
		endpoint.Weight = weight
	}
	if r.err != nil {
		return r.err
	}
	if endpoint.Host == "" || endpoint.State > balance.Draining {
		return l.errorf("entry without a host or with phase %d", endpoint.State)
	}
	c.lists[c.filling] = append(c.lists[c.filling], endpoint)
	return nil
}

// ParseEvent decodes a message into ev. positionOrigin is the instance's, as returned by ParseStart. The error is
// ErrUnknownMessage or a *LineError; the contents of ev are then undefined. The event may share the memory of the codec's
// endpoint lists, but not that of the line.
func (c *Codec) ParseEvent(l Line, positionOrigin int64, ev *balance.Event) error {
	*ev = balance.Event{}
	r := valueReader{line: l}
	var err error
	switch string(l.Word) {
	case "topology":
		err = c.parseEndpoints(&r, ev)
	case "call":
		parseRequest(&r, ev)
	case "completed":
		ev.Kind = balance.OutcomeEvent
		parseAttempt(&r, positionOrigin, ev)
		err = c.parseResult(&r, positionOrigin, ev)
	case "check_result":
		ev.Kind = balance.HealthCheckEvent
		err = c.parseResult(&r, positionOrigin, ev)
	case "left":
		ev.Kind = balance.ClientDisconnectedEvent
		ev.Request = r.int("ticket")
	case "deadline_hit":
		ev.Kind = balance.TimerEvent
		ev.Token = r.int("ref")
	case "message":
		err = parseGossip(&r, ev)
	default:
		return ErrUnknownMessage
	}
	if err != nil {
		return err
	}
	return r.err
}

// Scopes of an endpoint list. Any other is a list of changes.
const (
	scopePolled     = 1
	scopeSubscribed = 2
	scopePollFailed = 3
)

func (c *Codec) parseEndpoints(r *valueReader, ev *balance.Event) error {
	scope := r.int("scope")
	number := r.int("buffer")
	ev.Kind = balance.EndpointsEvent
	ev.PollFailed = scope == scopePollFailed
	ev.Complete = scope == scopePolled || scope == scopeSubscribed
	if ev.PollFailed {
		return nil
	}
	if number < 0 || number >= maxLists {
		return r.line.errorf("no list %d", number)
	}
	ev.Endpoints = c.lists[number]
	return nil
}

func parseRequest(r *valueReader, ev *balance.Event) {
	ev.Kind = balance.RequestEvent
	ev.Request = r.int("ticket")
	ev.Class = int(r.int("service"))
	ev.Group = r.int("shard")
	ev.HasKey = r.line.Get("session") != nil
	ev.Key = r.int("session")
	ev.SessionWriteAge = r.milliseconds("lastWriteMs")
	ev.Deadline = r.milliseconds("dropDeadMs")
	ev.WorkHint = r.milliseconds("weightHintMs")
}

// The note of an answer: the host's role in its lowest bits, above them the log position of the answer in milliseconds.
const (
	noteRoleBits = 2
	noteRoleMask = 1<<noteRoleBits - 1
	noteNoRole   = 3
)

func parseAttempt(r *valueReader, positionOrigin int64, ev *balance.Event) {
	ev.Request = r.int("ticket")
	ev.Attempt = int(r.int("try"))
	ev.Finished = r.bool("over")
	note := r.int("note")
	if role := note & noteRoleMask; role != noteNoRole {
		ev.Role = balance.Role(role)
	}
	if ms := note >> noteRoleBits; ms > 0 {
		ev.Position = positionOrigin + ms*1000
	}
}

func (c *Codec) parseResult(r *valueReader, positionOrigin int64, ev *balance.Event) error {
	l := r.line
	ev.Host = c.intern(l.Get("host"))
	ev.Latency = r.milliseconds("timeTakenMs")
	result, ok := results[string(l.Get("status"))]
	if !ok {
		return l.errorf("unknown status %q", l.Get("status"))
	}
	ev.Result = result
	return parseReport(l.Get("feedback"), positionOrigin, &ev.Report)
}

// primaryThreshold is the least value of x1 that means primary.
const primaryThreshold = 0.5

// parseReport decodes a host's report: name:value pairs separated by commas. Unknown names are skipped.
func parseReport(b []byte, positionOrigin int64, report *balance.HostReport) error {
	for len(b) > 0 {
		var pair []byte
		pair, b, _ = bytes.Cut(b, []byte{','})
		name, text, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			continue
		}
		value, ok := parseFloat(text)
		if !ok {
			return &LineError{"feedback", fmt.Errorf("bad value %q", pair)}
		}
		switch string(name) {
		case "x0": // position in seconds
			report.HasPosition = true
			report.Position = positionOrigin + int64(math.Floor(value*1e6))
		case "x1": // role
			report.HasRole = true
			report.Primary = value >= primaryThreshold
		}
	}
	return nil
}

// noContents is the value of contents in a message without any.
const noContents = "-"

func parseGossip(r *valueReader, ev *balance.Event) error {
	ev.Kind = balance.GossipEvent
	ev.Peer = int(r.int("from"))
	b := r.line.Get("contents")
	if len(b) == 0 || string(b) == noContents {
		return nil
	}
	ev.Data = make([]byte, len(b)/2)
	if _, err := hex.Decode(ev.Data, b[:2*len(ev.Data)]); err != nil {
		return r.line.errorf("bad bytes %q", b)
	}
	return nil
}

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

// maxLists is the number of numbered endpoint lists that the simulator uses.
const maxLists = 16

// noList is the value of Codec.currentList while no list is being read.
const noList = -1

// Codec decodes events. It holds the state that spans several lines: numbered endpoint lists and interned host names.
// It is not safe for concurrent use.
type Codec struct {
	hostNames   map[string]string
	lists       [maxLists][]balance.Endpoint
	currentList int // number of the list that receives the next endpoints, or noList
	remaining   int // number of endpoints of that list that have not been read yet
}

// NewCodec returns a codec without lists.
func NewCodec() *Codec { return &Codec{hostNames: map[string]string{}, currentList: noList} }

// intern returns a host's name as a string that all events for the host share.
func (c *Codec) intern(b []byte) string {
	if name, ok := c.hostNames[string(b)]; ok {
		return name
	}
	name := string(b)
	c.hostNames[name] = name
	return name
}

// results maps the protocol's names for the results of attempts and health checks to those of package balance.
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
		return 0, l.errorf("who is %q, want the number of an instance", b)
	}
	return n, nil
}

// ParseClock returns the time of a batch of events, in microseconds.
func ParseClock(l Line) (int64, error) {
	b := l.Get("wallMs")
	us, ok := parseMilliseconds(b)
	if !ok {
		return 0, l.errorf("wallMs is %q, want a number of milliseconds", b)
	}
	return us, nil
}

// BeginList begins a numbered endpoint list. The following lines have one endpoint each.
func (c *Codec) BeginList(l Line) error {
	r := valueReader{line: l}
	number := r.int("buffer")
	count := r.int("records")
	c.currentList = noList
	if r.err != nil {
		return r.err
	}
	if number < 0 || number >= maxLists || count < 0 {
		return l.errorf("invalid list number %d or number of entries %d", number, count)
	}
	c.currentList = int(number)
	c.remaining = int(count)
	c.lists[number] = nil // not truncated, since events may still share its memory
	return nil
}

// AddEndpoint appends an endpoint to the list that was begun last. The protocol and package balance number the states
// of endpoints the same.
func (c *Codec) AddEndpoint(l Line) error {
	if c.currentList == noList || c.remaining == 0 {
		return l.errorf("entry outside a list, or beyond its number of records")
	}
	c.remaining--
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
		return l.errorf("entry without a host, or with the unknown phase %d", endpoint.State)
	}
	c.lists[c.currentList] = append(c.lists[c.currentList], endpoint)
	return nil
}

// ParseEvent decodes a message into ev. positionOrigin is that of the instance, as returned by ParseStart. The error
// is ErrUnknownMessage or a *LineError; the contents of ev are then undefined. The event may share the memory of the
// codec's endpoint lists, but not that of the line.
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

// Scopes of an endpoint list. A list with any other scope contains changes only.
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
		return r.line.errorf("list number %d is out of range", number)
	}
	ev.Endpoints = c.lists[number]
	return nil
}

func parseRequest(r *valueReader, ev *balance.Event) {
	ev.Kind = balance.RequestEvent
	ev.Request = r.int("ticket")
	ev.Class = int(r.int("service"))
	ev.Group = r.int("shard")
	ev.HasSession = r.line.Get("session") != nil
	ev.SessionKey = r.int("session")
	ev.SessionWriteAge = r.milliseconds("lastWriteMs")
	ev.Deadline = r.milliseconds("dropDeadMs")
	ev.WorkHint = r.milliseconds("weightHintMs")
}

// Layout of the note of an answer: its lowest bits are the host's role, and the bits above them are the log position of
// the answer in milliseconds.
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

// primaryThreshold is the lowest value of x1 that means primary.
const primaryThreshold = 0.5

// parseReport decodes a host's report, which consists of name:value pairs separated by commas. Unknown names are
// skipped.
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
			return &LineError{"feedback", fmt.Errorf("value of %q is not a number", pair)}
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

// noContents is the value of the part contents in a message without data.
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
		return r.line.errorf("contents %q are not hexadecimal bytes", b)
	}
	return nil
}

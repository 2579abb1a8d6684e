// Package wire reads and writes the simulator's line protocol. It translates and decides nothing.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"cloverrock/balance"
)

// Codec holds what spans lines: interned host names, numbered lists, and scratch space.
type Codec struct {
	names   map[string]string
	lists   [16][]balance.Endpoint
	filling int // list that takes the next entry lines; -1 when none
	left    int
}

// NewCodec returns an empty codec.
func NewCodec() *Codec { return &Codec{names: map[string]string{}, filling: -1} }

func (c *Codec) intern(b []byte) string {
	if s, ok := c.names[string(b)]; ok {
		return s
	}
	s := string(b)
	c.names[s] = s
	return s
}

// Fields is one line taken apart: its first word, then name=value parts in any order.
type Fields struct{ Word, rest []byte }

// Split takes a line apart.
func Split(line []byte) Fields {
	word, rest, _ := bytes.Cut(line, []byte{' '})
	return Fields{word, rest}
}

// Get finds a part by name; absent parts are nil.
func (f Fields) Get(name string) []byte {
	rest := f.rest
	for len(rest) > 0 {
		part := rest
		if i := bytes.IndexByte(rest, ' '); i >= 0 {
			part, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		if len(part) > len(name) && part[len(name)] == '=' && string(part[:len(name)]) == name {
			return part[len(name)+1:]
		}
	}
	return nil
}

// Text finds a part whose value runs to the end of the line.
func (f Fields) Text(name string) []byte {
	rest := f.rest
	for len(rest) > 0 {
		if len(rest) > len(name) && rest[len(name)] == '=' && string(rest[:len(name)]) == name {
			return rest[len(name)+1:]
		}
		i := bytes.IndexByte(rest, ' ')
		if i < 0 {
			return nil
		}
		rest = rest[i+1:]
	}
	return nil
}

type reader struct {
	f   Fields
	err error
}

func (r *reader) int(name string) int64 {
	b := r.f.Get(name)
	if b == nil {
		return 0
	}
	var n int64
	for i, ch := range b {
		if ch < '0' || ch > '9' || i > 18 {
			v, err := strconv.ParseInt(string(b), 10, 64)
			if err != nil {
				if w, err2 := strconv.ParseFloat(string(b), 64); err2 == nil && w == math.Trunc(w) {
					return int64(w)
				}
				r.fail(name, b)
			}
			return v
		}
		n = n*10 + int64(ch-'0')
	}
	if len(b) == 0 {
		r.fail(name, b)
	}
	return n
}

func (r *reader) fail(name string, b []byte) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: bad value %q for %s", r.f.Word, b, name)
	}
}

func (r *reader) ms(name string) int64 {
	b := r.f.Get(name)
	if b == nil {
		return 0
	}
	v, ok := micros(b)
	if !ok {
		r.fail(name, b)
	}
	return v
}

func (r *reader) bool(name string) bool { return r.int(name) != 0 }

// micros reads decimal milliseconds as whole microseconds, rounded to the nearest.
func micros(b []byte) (int64, bool) {
	f, ok := float(b)
	if !ok || math.Abs(f) > 9e15 {
		return 0, false
	}
	return int64(math.Round(f * 1000)), true
}

func float(b []byte) (float64, bool) {
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}

var results = map[string]balance.Result{
	"done": balance.Succeeded, "err": balance.Failed, "busy": balance.Overloaded, "etimedout": balance.TimedOut,
	"econnrefused": balance.ConnectionRefused, "econnreset": balance.ConnectionReset, "ecanceled": balance.Canceled,
	"skipped": balance.NotSent, "enoent": balance.NotPrimary,
}

// ErrUnknown marks a message that the codec does not know; it is to be skipped.
var ErrUnknown = errors.New("unknown message")

// Instance reads which instance a line is for.
func Instance(f Fields) (int, error) {
	b := f.Get("who")
	n, err := strconv.Atoi(string(b))
	if err != nil {
		return 0, fmt.Errorf("%s: no instance in %q", f.Word, b)
	}
	return n, nil
}

// Turn reads the clock of a batch.
func Turn(f Fields) (int64, error) {
	v, ok := micros(f.Get("wallMs"))
	if !ok {
		return 0, fmt.Errorf("turn: bad clock %q", f.Get("wallMs"))
	}
	return v, nil
}

// Roster begins a numbered list.
func (c *Codec) Roster(f Fields) error {
	r := reader{f: f}
	n, count := r.int("buffer"), r.int("records")
	c.filling = -1
	if r.err != nil {
		return r.err
	}
	if n < 0 || n >= int64(len(c.lists)) || count < 0 {
		return fmt.Errorf("roster: no list %d with %d entries", n, count)
	}
	c.filling, c.left = int(n), int(count)
	c.lists[n] = nil // events already handed out may still hold the old entries
	return nil
}

// Entry reads one entry line into the list that is being filled.
func (c *Codec) Entry(f Fields) error {
	if c.filling < 0 || c.left == 0 {
		return errors.New("m: an entry outside a list")
	}
	c.left--
	r := reader{f: f}
	e := balance.Endpoint{
		Host: c.intern(f.Get("host")), Zone: int(r.int("rackZone")), Group: r.int("cluster"),
		Kind: int(r.int("generationHw")), State: balance.EndpointState(r.int("phase")), Primary: r.bool("isPrimary"),
		StartedAt: r.ms("bornMs"),
	}
	if b := f.Get("units"); b != nil {
		w, ok := float(b)
		if !ok {
			r.fail("units", b)
		}
		e.Weight = w
	}
	if r.err != nil {
		return r.err
	}
	if e.Host == "" || e.State > balance.Draining {
		return fmt.Errorf("m: entry without a host or with phase %d", e.State)
	}
	c.lists[c.filling] = append(c.lists[c.filling], e)
	return nil
}

// Event reads a message into ev; base is the instance's position origin.
func (c *Codec) Event(f Fields, base int64, ev *balance.Event) error {
	*ev = balance.Event{}
	r := reader{f: f}
	switch string(f.Word) {
	case "topology":
		ev.Kind = balance.EndpointsEvent
		scope, n := r.int("scope"), r.int("buffer")
		ev.PollFailed, ev.Complete = scope == 3, scope == 1 || scope == 2
		if !ev.PollFailed {
			if n < 0 || n >= int64(len(c.lists)) {
				return fmt.Errorf("topology: no list %d", n)
			}
			ev.Endpoints = c.lists[n]
		}
	case "call":
		ev.Kind = balance.RequestEvent
		ev.Request, ev.Class, ev.Group = r.int("ticket"), int(r.int("service")), r.int("shard")
		ev.HasKey = f.Get("session") != nil
		ev.Key, ev.SessionWriteAge = r.int("session"), r.ms("lastWriteMs")
		ev.Deadline, ev.WorkHint = r.ms("dropDeadMs"), r.ms("weightHintMs")
	case "completed", "check_result":
		ev.Kind = balance.HealthCheckEvent
		if string(f.Word) == "completed" {
			ev.Kind = balance.OutcomeEvent
			ev.Request, ev.Attempt, ev.Finished = r.int("ticket"), int(r.int("try")), r.bool("over")
			note := r.int("note")
			if role := note & 3; role < 3 {
				ev.Role = balance.Role(role)
			}
			if p := note >> 2; p > 0 {
				ev.Position = base + p*1000
			}
		}
		ev.Host, ev.Latency = c.intern(f.Get("host")), r.ms("timeTakenMs")
		res, ok := results[string(f.Get("status"))]
		if !ok {
			return fmt.Errorf("%s: unknown status %q", f.Word, f.Get("status"))
		}
		ev.Result = res
		if err := report(f.Get("feedback"), base, &ev.Report); err != nil {
			return err
		}
	case "left":
		ev.Kind, ev.Request = balance.ClientDisconnectedEvent, r.int("ticket")
	case "deadline_hit":
		ev.Kind, ev.Token = balance.TimerEvent, r.int("ref")
	case "message":
		ev.Kind, ev.Peer = balance.GossipEvent, int(r.int("from"))
		if b := f.Get("contents"); len(b) > 0 && string(b) != "-" {
			data := make([]byte, len(b)/2)
			for i := range data {
				v, err := strconv.ParseUint(string(b[2*i:2*i+2]), 16, 8)
				if err != nil {
					return fmt.Errorf("message: bad bytes %q", b)
				}
				data[i] = byte(v)
			}
			ev.Data = data
		}
	default:
		return ErrUnknown
	}
	return r.err
}

func report(b []byte, base int64, rep *balance.HostReport) error {
	for len(b) > 0 {
		part := b
		if i := bytes.IndexByte(b, ','); i >= 0 {
			part, b = b[:i], b[i+1:]
		} else {
			b = nil
		}
		name, value, ok := bytes.Cut(part, []byte{':'})
		if !ok {
			continue
		}
		v, ok := float(value)
		if !ok {
			return fmt.Errorf("feedback: bad value %q", part)
		}
		switch string(name) {
		case "x0":
			rep.HasPosition, rep.Position = true, base+int64(math.Floor(v*1e6))
		case "x1":
			rep.HasRole, rep.Primary = true, v >= 0.5
		}
	}
	return nil
}

// AppendAction writes an action as a line.
func AppendAction(b []byte, who int, a *balance.Action) []byte {
	word := [...]string{
		balance.SendAction: "issue", balance.CancelAction: "recall", balance.RejectAction: "not_now",
		balance.FailAction: "finish_error", balance.TimerAction: "set_alarm", balance.HealthCheckAction: "poll",
		balance.CloseIdleAction: "release", balance.GossipAction: "say", balance.LogAction: "journal_line",
		balance.SubscribeAction: "stream_changes", balance.PollEndpointsAction: "reload",
	}[a.Kind]
	b = append(append(b, word...), " who="...)
	b = strconv.AppendInt(b, int64(who), 10)
	switch a.Kind {
	case balance.SendAction, balance.CancelAction, balance.RejectAction, balance.FailAction:
		b = strconv.AppendInt(append(b, " ticket="...), a.Request, 10)
	}
	switch a.Kind {
	case balance.SendAction:
		b = append(append(b, " host="...), a.Host...)
		if a.Timeout != 0 {
			b = appendMs(append(b, " maxWaitMs="...), a.Timeout)
		}
	case balance.CancelAction:
		b = strconv.AppendInt(append(b, " try="...), int64(a.Attempt), 10)
	case balance.RejectAction:
		if a.RetryAfter > 0 {
			b = appendMs(append(b, " waitMs="...), a.RetryAfter)
		}
	case balance.TimerAction:
		b = appendMs(append(b, " whenMs="...), a.At)
		b = strconv.AppendInt(append(b, " ref="...), a.Token, 10)
	case balance.HealthCheckAction, balance.CloseIdleAction:
		b = append(append(b, " host="...), a.Host...)
	case balance.GossipAction:
		b = append(b, " whom="...)
		if a.Peer < 0 {
			b = append(b, "all"...)
		} else {
			b = strconv.AppendInt(b, int64(a.Peer), 10)
		}
		b = append(b, " contents="...)
		if len(a.Data) == 0 {
			b = append(b, '-')
		}
		for _, d := range a.Data {
			b = append(b, "0123456789abcdef"[d>>4], "0123456789abcdef"[d&15])
		}
	case balance.LogAction:
		b = append(append(b, " reasonText="...), oneLine(a.Text)...)
	case balance.SubscribeAction:
		b = append(b, " enable=1"...)
	}
	return append(b, '\n')
}

// AppendException writes that the instance's decision code failed.
func AppendException(b []byte, who int, text string) []byte {
	b = strconv.AppendInt(append(b, "exception who="...), int64(who), 10)
	return append(append(append(b, " reasonText="...), oneLine(text)...), '\n')
}

func oneLine(s string) string {
	out := []byte(s)
	for i, ch := range out {
		if ch < ' ' {
			out[i] = ' '
		}
	}
	return string(out)
}

// appendMs writes microseconds as milliseconds with three decimals at most.
func appendMs(b []byte, us int64) []byte {
	if us < 0 {
		b, us = append(b, '-'), -us
	}
	b = strconv.AppendInt(b, us/1000, 10)
	if rest := us % 1000; rest != 0 {
		b = append(b, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	}
	return b
}

// Start reads a start line: settings, seed, and the origin of positions.
func Start(f Fields) (balance.Settings, uint64, int64, error) {
	var s balance.Settings
	seed, err := strconv.ParseUint(string(f.Get("entropy")), 10, 64)
	if err != nil {
		if n, err2 := strconv.ParseInt(string(f.Get("entropy")), 10, 64); err2 == nil {
			seed = uint64(n)
		} else if f.Get("entropy") != nil {
			return s, 0, 0, fmt.Errorf("start: bad seed %q", f.Get("entropy"))
		}
	}
	var o Options
	if err := json.Unmarshal(f.Text("options"), &o); err != nil {
		return s, 0, 0, fmt.Errorf("start: bad options: %v", err)
	}
	s, base := o.Settings()
	return s, seed, base, nil
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"cloverrock/balance"
	"cloverrock/internal/simprotocol"
)

// instance is one simulated gateway.
type instance struct {
	router         *balance.Router
	positionOrigin int64 // µs on the simulator's clock
}

// simulation holds the instances and the state that spans the lines of a batch.
type simulation struct {
	codec       *simprotocol.Codec
	instances   map[int]*instance
	diagnostics io.Writer
	now         int64            // µs on the simulator's clock, for all events of the batch
	event       balance.Event    // reused between messages
	actions     []balance.Action // reused between messages
	reply       []byte           // lines of the reply to the batch so far
}

func newSimulation(diagnostics io.Writer) *simulation {
	return &simulation{codec: simprotocol.NewCodec(), instances: map[int]*instance{}, diagnostics: diagnostics}
}

// report writes an error to the diagnostics, unless it is nil.
func (s *simulation) report(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(s.diagnostics, "simadapter:", err) // a failed write cannot be reported anywhere else
	}
}

// writeReply completes the reply to a batch and writes it.
func (s *simulation) writeReply(out *bufio.Writer) error {
	s.reply = append(s.reply, "end\n"...)
	if _, err := out.Write(s.reply); err != nil {
		return err
	}
	s.reply = s.reply[:0]
	return out.Flush()
}

// handleLine handles one line and reports whether it ended a batch.
func (s *simulation) handleLine(b []byte) (endOfBatch bool) {
	line := simprotocol.ParseLine(b)
	switch string(line.Word) {
	case "end":
		return true
	case "turn":
		s.setClock(line)
	case "roster":
		s.report(s.codec.BeginList(line))
	case "m":
		s.report(s.codec.AddEndpoint(line))
	default:
		s.report(s.handleMessage(line))
	}
	return false
}

func (s *simulation) setClock(line simprotocol.Line) {
	now, err := simprotocol.ParseClock(line)
	if err != nil {
		s.report(err)
		return
	}
	s.now = now
}

// handleMessage handles a line that is addressed to an instance.
func (s *simulation) handleMessage(line simprotocol.Line) error {
	number, err := simprotocol.ParseInstance(line)
	if err != nil {
		return err
	}
	switch string(line.Word) {
	case "start":
		return s.start(number, line)
	case "teardown":
		delete(s.instances, number)
		return nil
	}
	inst := s.instances[number]
	if inst == nil {
		return fmt.Errorf("%s: instance %d does not exist", line.Word, number)
	}
	err = s.codec.ParseEvent(line, inst.positionOrigin, &s.event)
	if errors.Is(err, simprotocol.ErrUnknownMessage) {
		return nil
	}
	if err != nil {
		return err
	}
	s.handleEvent(number, inst)
	return nil
}

// start replaces an instance with a new one. The old instance is removed even if the new one cannot be started.
func (s *simulation) start(number int, line simprotocol.Line) error {
	delete(s.instances, number)
	settings, seed, positionOrigin, err := simprotocol.ParseStart(line)
	if err != nil {
		return err
	}
	router, err := balance.New(settings, seed)
	if err != nil {
		return err
	}
	s.instances[number] = &instance{router, positionOrigin}
	return nil
}

// handleEvent passes the event to the router of an instance and appends the resulting actions to the reply. A panic
// of the router removes only its instance; it is reported to the simulator as an exception.
func (s *simulation) handleEvent(number int, inst *instance) {
	defer func() {
		if p := recover(); p != nil {
			delete(s.instances, number)
			s.reply = simprotocol.AppendException(s.reply, number, fmt.Sprint("panic: ", p))
		}
	}()
	s.actions = inst.router.Handle(s.now, s.event, s.actions[:0])
	for i := range s.actions {
		s.reply = simprotocol.AppendAction(s.reply, number, &s.actions[i])
	}
}

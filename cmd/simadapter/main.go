// Command drill hosts instances of the decision module behind the simulator's line protocol.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"cloverrock/balance"
	"cloverrock/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

type instance struct {
	router *balance.Router
	base   int64
}

// run answers batches until the input ends.
func run(in io.Reader, out, diag io.Writer) error {
	rd := bufio.NewReaderSize(in, 1<<20)
	wr := bufio.NewWriterSize(out, 1<<20)
	h := host{codec: simprotocol.NewCodec(), instances: map[int]*instance{}, diag: diag}
	var long []byte
	for {
		line, err := rd.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			long = append(long, line...)
			line = long
		}
		if n := len(line); n > 0 && line[n-1] == '\n' {
			line = line[:n-1]
		}
		if len(line) > 0 {
			if h.line(line) {
				h.reply = append(h.reply, "end\n"...)
				if _, err := wr.Write(h.reply); err != nil {
					return err
				}
				if err := wr.Flush(); err != nil {
					return err
				}
				h.reply = h.reply[:0]
			}
		}
		long = long[:0]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type host struct {
	codec     *simprotocol.Codec
	instances map[int]*instance
	diag      io.Writer
	now       int64
	ev        balance.Event
	acts      []balance.Action
	reply     []byte
}

func (h *host) complain(err error) { fmt.Fprintln(h.diag, "drill:", err) }

// line takes one line and reports whether it ended a batch.
func (h *host) line(b []byte) bool {
	f := simprotocol.Split(b)
	switch string(f.Word) {
	case "end":
		return true
	case "turn":
		now, err := simprotocol.Turn(f)
		if err != nil {
			h.complain(err)
			return false
		}
		h.now = now
		return false
	case "roster":
		if err := h.codec.Roster(f); err != nil {
			h.complain(err)
		}
		return false
	case "m":
		if err := h.codec.Entry(f); err != nil {
			h.complain(err)
		}
		return false
	}
	who, err := simprotocol.Instance(f)
	if err != nil {
		h.complain(err)
		return false
	}
	switch string(f.Word) {
	case "start":
		settings, seed, base, err := simprotocol.Start(f)
		if err == nil {
			var r *balance.Router
			if r, err = balance.New(settings, seed); err == nil {
				h.instances[who] = &instance{r, base}
				return false
			}
		}
		delete(h.instances, who)
		h.complain(err)
		return false
	case "teardown":
		delete(h.instances, who)
		return false
	}
	inst := h.instances[who]
	if inst == nil {
		h.complain(fmt.Errorf("%s: no instance %d", f.Word, who))
		return false
	}
	if err := h.codec.Event(f, inst.base, &h.ev); err != nil {
		if !errors.Is(err, simprotocol.ErrUnknown) {
			h.complain(err)
		}
		return false
	}
	h.handle(who, inst)
	return false
}

// handle lets the instance decide; a panic in the module becomes an exception of that instance alone.
func (h *host) handle(who int, inst *instance) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.instances, who)
			h.reply = simprotocol.AppendException(h.reply, who, fmt.Sprint("panic: ", p))
		}
	}()
	h.acts = inst.router.Handle(h.now, h.ev, h.acts[:0])
	for i := range h.acts {
		h.reply = simprotocol.AppendAction(h.reply, who, &h.acts[i])
	}
}

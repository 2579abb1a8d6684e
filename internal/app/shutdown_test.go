package app

import (
	"strings"
	"testing"
	"time"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// Told to end, the gateway takes what still comes, answers all that it holds and then ends.
func TestDrainAnswersWhatIsInFlight(t *testing.T) {
	r := startGateway(t, 0)
	cl, resting := r.connect(), r.connect()
	cl.query(queryText(writeForm, 1))
	held := r.hosts[0].nextQuery()
	r.onLoop(func() {
		if r.server.drainDelay != 700e3 { // for so long requests come to it, and later ones would count as lost
			t.Errorf("takes requests for %d us", r.server.drainDelay)
		}
		r.server.drainDelay = testTimeout.Microseconds() // it is ended by hand, when the late request has come
		r.server.drain()
	})
	late := r.connect()
	late.query(queryText(writeForm, 2))
	r.hosts[0].nextQuery().answer("late")
	late.want("value late")
	r.onLoop(r.server.stopAccepting)
	resting.want("closed")
	late.want("closed")
	held.answer("v")
	cl.want("value v")
	cl.want("closed")
	select {
	case <-r.ended:
	case <-time.After(testTimeout):
		t.Fatal("does not end")
	}
}

// Clients go on sending after SIGTERM. What is in a connection's socket at the moment of its end is taken and answered:
// a request, half of one, the first half of several, a startup with its query behind it. Then the connection ends.
func TestShutdownAnswersWhatIsInTheSocket(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "user", "worker")
	query := func(ids ...int) (b []byte) {
		for _, id := range ids {
			b = pgwire.AppendQuery(b, queryText(writeForm, id))
		}
		return b
	}
	for name, c := range map[string]struct {
		fresh bool // the connection has said nothing yet
		sent  []byte
		first int // bytes of it that are there at the end
		want  []string
	}{
		"a request":             {sent: query(1), first: len(query(1)), want: []string{"value v"}},
		"half a request":        {sent: query(1), first: 9, want: []string{"value v"}},
		"several, cut":          {sent: query(1, 2, 3), first: len(query(1)) + 7, want: []string{"value v", "value v", "value v"}},
		"a startup and query":   {fresh: true, sent: append(startup, query(1)...), first: len(startup), want: []string{"", "value v"}},
		"half a startup":        {fresh: true, sent: append(startup, query(1)...), first: 3, want: []string{"", "value v"}},
		"nothing":               {want: nil},
		"nothing since it came": {fresh: true, want: nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := startGateway(t, 0)
			cl := r.dial()
			if !c.fresh {
				cl.write(startup)
				cl.want("")
			}
			r.connect() // its round trip shows that the loop has the first one, too
			r.onLoop(func() {
				if c.first > 0 {
					cl.write(c.sent[:c.first])
					for began := time.Now(); r.server.frontend.InputDrained() && time.Since(began) < testTimeout; { // until it is there
					}
				}
				r.server.stopAccepting()
			})
			go func() {
				for range c.want {
					select {
					case q := <-r.hosts[0].queries:
						q.answer("v")
					case <-time.After(testTimeout):
						return
					}
				}
			}()
			if c.first < len(c.sent) {
				cl.write(c.sent[c.first:])
			}
			for _, want := range c.want {
				cl.want(want)
			}
			cl.want("closed")
			select {
			case <-r.ended:
			case <-time.After(testTimeout):
				t.Fatal("does not end")
			}
		})
	}
}

// A client that reads slowly rests with its answer half written: neither a new client nor the end may cut it off.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.Sockets = reservedDescriptors + 4 }) // 2 clients
	slow, other := r.connect(), r.connect()
	value := strings.Repeat("v", 64<<10)
	id := 0
	for ; !r.hasUnsentBytes(); id++ {
		if id == 1000 {
			t.Fatal("64 MB were written to a client that reads nothing")
		}
		slow.query(queryText(writeForm, id))
		r.hosts[0].nextQuery().answer(value)
		for r.inFlight() {
		}
	}
	other.query("") // so that slow has rested longer
	other.want("empty")
	r.connect().conn.Close()
	other.want("closed")
	r.onLoop(func() {
		r.server.drainDelay = testTimeout.Microseconds()
		r.server.drain()
		r.server.stopAccepting()
	})
	for ; id > 0; id-- {
		slow.want("value " + value)
	}
	slow.want("closed")
}

// A connection that rests is ended by a lingering close: what its client is just sending is never sent on, and resets
// nothing. The client that does not end its side holds up the end for a moment only.
func TestIdleClientIsClosedWithoutAReset(t *testing.T) {
	for name, ends := range map[string]bool{"ends its side": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			r := startGateway(t, 0)
			cl := r.connect()
			cl.query(queryText(writeForm, 1))
			r.hosts[0].nextQuery().answer("v")
			cl.want("value v")
			r.onLoop(func() { r.server.frontend.Shutdown(r.server.loop.Stop) })
			for id := range 50 { // a reset would fail one of these
				cl.query(queryText(writeForm, 10+id))
			}
			cl.want("closed")
			if ends {
				cl.conn.Close()
			}
			select {
			case <-r.ended:
			case <-time.After(testTimeout):
				t.Fatal("does not end")
			}
			if n := len(r.hosts[0].queries); n > 0 {
				t.Errorf("%d requests were sent on after the end", n)
			}
		})
	}
}

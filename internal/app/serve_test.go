package app

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

const (
	readText  = "/* id=%d,c=lookup,d=%d,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'"
	writeText = "/* id=%d,c=change,d=%d,cluster=1 */ INSERT INTO objects VALUES ('k')"
)

func text(form string, id int) string { return fmt.Sprintf(form, id, 60000) }

// The value comes back as the host gave it; statement and id go out unchanged, d as the time that is left.
func TestPassesOn(t *testing.T) {
	r := start(t, 0)
	cl := r.connect()
	cl.query(text(writeText, 41))
	q := r.hosts[0].next()
	head, rest, _ := strings.Cut(q.text, ",d=")
	left, rest, _ := strings.Cut(rest, ",")
	var wait int
	if _, err := fmt.Sscan(left, &wait); err != nil || wait > 60000 || wait < 1 {
		t.Errorf("d is %q", left)
	}
	if got := head + ",d=60000," + rest; got != text(writeText, 41) {
		t.Errorf("the host got %q", q.text)
	}
	value := strings.Repeat("\x00\xff'v", 120<<10) // 480 KiB, more than a socket gives at once, and than the protocol promises
	q.answer(value)
	cl.want("value " + value)
}

// A client may send ahead, its first query with the startup; answers keep the order and no request is lost.
func TestAnswersKeepOrder(t *testing.T) {
	r := start(t, 0)
	cl := r.dial()
	b := pgwire.AppendStartup(nil, "user", "worker")
	for id := 1; id <= 3; id++ {
		b = pgwire.AppendQuery(pgwire.AppendQuery(b, text(writeText, id)), "")
	}
	for _, ch := range b { // byte by byte: no cut may matter
		cl.write([]byte{ch})
	}
	cl.want("")
	for id := 1; id <= 3; id++ {
		q := r.hosts[0].next()
		q.answer(q.text[:strings.Index(q.text, ",")])
		cl.want(fmt.Sprintf("value /* id=%d", id))
		cl.want("empty")
	}
}

// A write that was written whole may have run: it fails and goes nowhere else. Its connection is not used again.
func TestUnsafeIsNotResent(t *testing.T) {
	for name, end := range map[string]func(*dbquery){
		"reset": func(q *dbquery) { q.conn.Close() },
		"error": func(q *dbquery) { q.refuse("XX000") },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 2)
			cl := r.connect()
			cl.query(text(writeText, 1))
			end(r.hosts[0].next())
			cl.want("error " + pgwire.CodeSystemError)
			for i, h := range r.hosts {
				if len(h.queries) != 0 {
					t.Errorf("s-%d got the write again", i)
				}
			}
		})
	}
}

// A connection that is refused proves that nothing ran, and so does a miss: the write walks down the list.
func TestWriteWalks(t *testing.T) {
	r := start(t, 2)
	r.hosts[0].ln.Close()
	r.hosts[1].become(false)
	r.hosts[2].become(true)
	cl := r.connect()
	cl.query(text(writeText, 1))
	for {
		q, miss := (*dbquery)(nil), false
		select {
		case q = <-r.hosts[1].queries:
			miss = true
		case q = <-r.hosts[2].queries:
		case <-time.After(limit):
			t.Fatal("the write went nowhere")
		}
		if miss {
			q.refuse(pgwire.CodeReadOnly)
			continue
		}
		q.answer("done")
		break
	}
	cl.want("value done")
}

// While no host says that it is primary a write is held; it goes out once one does.
func TestWriteIsHeld(t *testing.T) {
	r := start(t, 1)
	r.hosts[0].become(false)
	cl := r.connect()
	cl.query(text(writeText, 1))
	for misses := 0; misses < 2; misses++ {
		select {
		case q := <-r.hosts[0].queries:
			q.refuse(pgwire.CodeReadOnly)
		case q := <-r.hosts[1].queries:
			q.refuse(pgwire.CodeReadOnly)
		case <-time.After(limit):
			t.Fatal("the write did not walk")
		}
	}
	r.hosts[1].become(true) // told by the answer to a probe
	r.hosts[1].next().answer("done")
	cl.want("value done")
}

// A refusal says when to come back.
func TestRefusalTellsWhen(t *testing.T) {
	r := start(t, 0)
	r.hosts[0].ln.Close()
	cl := r.connect()
	cl.query(fmt.Sprintf(readText, 1, 30))
	cl.want("error 53300 after 1000")
}

// Nothing new goes to a host that drains, and what it holds is finished.
func TestDrainIsKept(t *testing.T) {
	r := start(t, 2)
	cl := r.connect()
	cl.query(text(writeText, 1))
	held := r.hosts[0].next()
	r.watch().line(`{"generation":8,"instances":` + r.instances("DRAINING", "DRAINING") + `}`)
	other := r.connect()
	for !r.told(8) { // until the gateway has read the line
	}
	for id := 2; id < 12; id++ {
		other.query(text(readText, id))
		r.hosts[2].next().answer("v")
		other.want("value v")
	}
	held.answer("done")
	cl.want("value done")
	if n := len(r.hosts[0].queries) + len(r.hosts[1].queries); n != 0 {
		t.Errorf("%d sent to hosts that drain", n)
	}
}

// told tells whether the gateway has read the list of that generation.
func (r *rig) told(generation int64) (told bool) {
	r.do(func() { told = r.s.list.Generation >= generation })
	return told
}

// When its client leaves, an attempt's connection is closed: its late answer must meet nobody else.
func TestClientLeaves(t *testing.T) {
	r := start(t, 0)
	cl := r.connect()
	cl.query(text(writeText, 1))
	q := r.hosts[0].next()
	cl.c.Close()
	select {
	case <-r.hosts[0].closed:
	case <-time.After(limit):
		t.Fatal("the connection stays open")
	}
	q.answer("late")
	cl = r.connect()
	cl.query(text(writeText, 2))
	r.hosts[0].next().answer("own")
	cl.want("value own")
}

// A write that finds its idle connection closed by the host may not end as a reset: idle ones go sooner.
func TestIdleConnectionsGoSooner(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.IdleClose = 40_000 })
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next().answer("v")
	cl.want("value v")
	select {
	case <-r.hosts[0].closed:
	case <-time.After(limit):
		t.Fatal("the idle connection stays open")
	}
}

// An empty query is answered as such only once the list is known.
func TestReadyOnceListed(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.KnownEndpoints = nil })
	cl := r.connect()
	cl.query("")
	cl.want("error " + pgwire.CodeCannotConnectNow)
	r.watch().line(`{"generation":8,"reset":true,"instances":` + r.instances() + `}`)
	for !r.told(8) {
	}
	cl.query(" ;")
	cl.want("empty")
}

// After a bad line the watch begins anew where it stood, and the last list holds.
func TestBadListLine(t *testing.T) {
	r := start(t, 0)
	for _, bad := range []string{`{"generation":9,"instances":[{"lifecycle":"?"}]}`, `{"generation":`, "\x00"} {
		r.watch().line(bad)
	}
	if a := r.watch(); !strings.HasPrefix(a.request, "GET /api/targets?stream=1&index=7 ") {
		t.Errorf("asked %q", a.request)
	}
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next().answer("v")
	cl.want("value v")
}

// Bad input gets a plain error; the connection ends only where framing is lost, and the gateway serves on.
func TestBadInput(t *testing.T) {
	r := start(t, 0)
	message := func(kind byte, body string) []byte {
		b := append([]byte{kind, 0, 0, 0, byte(4 + len(body))}, body...)
		return b
	}
	for name, c := range map[string]struct {
		raw  []byte // in place of a startup
		in   []byte
		want []string
	}{
		"no comment":        {in: pgwire.AppendQuery(nil, "SELECT 1"), want: []string{"error 42601"}},
		"unknown class":     {in: pgwire.AppendQuery(nil, "/* id=1,c=x,cluster=1 */ SELECT 1"), want: []string{"error 42601"}},
		"unknown group":     {in: pgwire.AppendQuery(nil, "/* id=1,c=lookup,cluster=9 */ SELECT 1"), want: []string{"error 53300 after 1000"}},
		"write that reads":  {in: pgwire.AppendQuery(nil, "/* id=1,c=change,cluster=1 */ SELECT 1"), want: []string{"error 42601"}},
		"read that writes":  {in: pgwire.AppendQuery(nil, "/* id=1,c=lookup,cluster=1 */ INSERT INTO objects VALUES ('k')"), want: []string{"error 42601"}},
		"commit to come":    {in: pgwire.AppendQuery(nil, "/* id=1,c=own,cluster=1,after=99999999999999 */ SELECT 1"), want: []string{"error 42601"}},
		"extended query":    {in: bytes.Join([][]byte{message('P', "\x00\x00\x00\x00"), message('E', "\x00\x00\x00\x00\x00"), message('S', "")}, nil), want: []string{"error 0A000"}},
		"function call":     {in: message('F', ""), want: []string{"error 0A000"}},
		"setting":           {in: pgwire.AppendQuery(nil, "SET a = 1"), want: []string{""}},
		"unterminated":      {in: message('Q', "abc"), want: []string{"error 08P01 closed"}},
		"two strings":       {in: message('Q', "a\x00b\x00"), want: []string{"error 08P01 closed"}},
		"unknown message":   {in: message('?', ""), want: []string{"error 08P01 closed"}},
		"too long":          {in: []byte("Q\x7f\xff\xff\xff"), want: []string{"error 08P01 closed"}},
		"too short":         {in: []byte("Q\x00\x00\x00\x01"), want: []string{"error 08P01 closed"}},
		"after an answer":   {in: append(pgwire.AppendQuery(nil, ""), "Q\x00\x00\x00\x01"...), want: []string{"empty", "error 08P01 closed"}},
		"startup too long":  {raw: []byte("GET / HTTP/1.1\r\n\r\n"), want: []string{"error 08P01 closed"}},
		"old protocol":      {raw: []byte("\x00\x00\x00\x08\x00\x02\x00\x00"), want: []string{"error 0A000 closed"}},
		"cancel":            {raw: []byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00"), want: []string{"closed"}},
		"newer minor":       {raw: []byte("\x00\x00\x00\x09\x00\x03\x00\x02\x00"), want: []string{""}},
		"too many at once":  {in: bytes.Repeat(pgwire.AppendQuery(nil, text(writeText, 1)), 400), want: []string{"ends"}},
		"leaves in silence": {in: pgwire.AppendTerminate(nil), want: []string{"closed"}},
	} {
		t.Run(name, func(t *testing.T) {
			var cl *app
			if c.raw != nil {
				cl = r.dial()
				cl.write(c.raw)
			} else {
				cl = r.connect()
				cl.write(c.in)
			}
			cl.t = t
			for _, want := range c.want {
				if want == "ends" {
					cl.ends()
				} else {
					cl.want(want)
				}
			}
			cl.c.Close()
		})
	}
	cl := r.connect()
	cl.query(text(readText, 99))
	for { // what the clients above left behind comes first
		q := r.hosts[0].next()
		q.answer("v")
		if strings.Contains(q.text, "id=99,") {
			break
		}
	}
	cl.want("value v")
}

// Connections beyond the limit: one that rests makes room; if none does, the new one is told.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Sockets = reserved + 4 }) // 2 clients
	first, second := r.connect(), r.connect()
	first.query(text(writeText, 1))
	held := r.hosts[0].next()
	third := r.connect() // second was resting
	second.want("closed")
	third.query(text(writeText, 2))
	also := r.hosts[0].next()
	fourth := r.connect()
	fourth.query(text(writeText, 3))
	fourth.want("error 53300 closed")
	held.answer("v")
	also.answer("w")
	first.want("value v")
	third.want("value w")
}

// Told to end, the gateway takes what still comes, answers all that it holds and then ends.
func TestEndsInOrder(t *testing.T) {
	r := start(t, 0)
	cl, resting := r.connect(), r.connect()
	cl.query(text(writeText, 1))
	held := r.hosts[0].next()
	r.do(func() {
		if r.s.overlap != 700e3 { // for so long requests come to it, and later ones would count as lost
			t.Errorf("takes requests for %d us", r.s.overlap)
		}
		r.s.overlap = limit.Microseconds() // it is ended by hand, when the late request has come
		r.s.drain()
	})
	late := r.connect()
	late.query(text(writeText, 2))
	r.hosts[0].next().answer("late")
	late.want("value late")
	r.do(r.s.shut)
	resting.want("closed")
	late.want("closed")
	held.answer("v")
	cl.want("value v")
	cl.want("closed")
	select {
	case <-r.ended:
	case <-time.After(limit):
		t.Fatal("does not end")
	}
}

// Clients go on sending after SIGTERM. What is in a connection's socket at the moment of its end is taken and answered:
// a request, half of one, the first half of several, a startup with its query behind it. Then the connection ends.
func TestEndsWhileClientsSend(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "user", "worker")
	query := func(ids ...int) (b []byte) {
		for _, id := range ids {
			b = pgwire.AppendQuery(b, text(writeText, id))
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
			r := start(t, 0)
			cl := r.dial()
			if !c.fresh {
				cl.write(startup)
				cl.want("")
			}
			r.connect() // its round trip shows that the loop has the first one, too
			r.do(func() {
				if c.first > 0 {
					cl.write(c.sent[:c.first])
					for began := time.Now(); r.s.frontend.InputDrained() && time.Since(began) < limit; { // until it is there
					}
				}
				r.s.shut()
			})
			go func() {
				for range c.want {
					select {
					case q := <-r.hosts[0].queries:
						q.answer("v")
					case <-time.After(limit):
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
			case <-time.After(limit):
				t.Fatal("does not end")
			}
		})
	}
}

// alone is a gateway without the parts of a larger build.
type alone struct{}

func (alone) Commands(func(string) string) []*cobra.Command { return nil }
func (alone) Check(string) error                            { return nil }
func (alone) ExitCode(error) int                            { return ExitFailed }
func (alone) Open(string, func(string) string, zerolog.Logger) (Component, error) {
	return nil, errors.New("no such part")
}

func TestCommands(t *testing.T) {
	env := func(string) string { return "" }
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"version", 0, "cloverrock "}, {"help", 0, "Usage"}, {"check", 1, "EDGE_CONFIG"}, {"serve", 1, "EDGE_CONFIG"},
		{"", 1, "EDGE_CONFIG"}, {"serve -x", 2, "Usage"}, {"version now", 2, "no arguments"}, {"dance", 2, "Usage"},
	} {
		var out bytes.Buffer
		if code := Main(strings.Fields(c.args), env, io.MultiWriter(&out), &out, alone{}); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: %d, %q", c.args, code, out.String())
		}
	}
}

// A client that reads slowly rests with its answer half written: neither a new client nor the end may cut it off.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Sockets = reserved + 4 }) // 2 clients
	slow, other := r.connect(), r.connect()
	value := strings.Repeat("v", 64<<10)
	id := 0
	for ; !r.unread(); id++ {
		if id == 1000 {
			t.Fatal("64 MB were written to a client that reads nothing")
		}
		slow.query(text(writeText, id))
		r.hosts[0].next().answer(value)
		for r.owed() {
		}
	}
	other.query("") // so that slow has rested longer
	other.want("empty")
	r.connect().c.Close()
	other.want("closed")
	r.do(func() {
		r.s.overlap = limit.Microseconds()
		r.s.drain()
		r.s.shut()
	})
	for ; id > 0; id-- {
		slow.want("value " + value)
	}
	slow.want("closed")
}

func (r *rig) owed() (owed bool) {
	r.do(func() { owed = r.s.gateway.InFlight() > 0 })
	return owed
}

// unread tells whether a client has left more unread than its next command may find.
func (r *rig) unread() (unread bool) {
	r.do(func() { unread = r.s.frontend.UnsentBytes() > 64<<10 })
	return unread
}

// No read is answered from data older than its class allows: the primary takes it if the replica stands too far back.
func TestStaleReplicaGetsNoRead(t *testing.T) {
	r := start(t, 1)
	r.hosts[1].stand(time.Now().Add(-2 * time.Minute)) // the bound is 1 min
	cl := r.connect()
	for id := 1; id <= 5; id++ {
		cl.query(text(readText, id))
		r.hosts[0].next().answer("fresh")
		cl.want("value fresh")
	}
	r.hosts[1].stand(time.Now())
	after := time.Now().UnixMilli() + 1000 // no replica has reached it
	cl.query(fmt.Sprintf("/* id=9,c=own,d=60000,cluster=1,after=%d */ SELECT body FROM objects WHERE oid = 'k'", after))
	r.hosts[0].next().answer("own")
	cl.want("value own")
	if len(r.hosts[1].queries) != 0 {
		t.Error("the replica got a read")
	}
}

// lines hands on the log lines of a program.
type lines chan string

func (l lines) Write(b []byte) (int, error) { l <- string(b); return len(b), nil }

// until waits for a line that holds a text.
func (l lines) until(t *testing.T, text string) string {
	t.Helper()
	for {
		select {
		case line := <-l:
			if strings.Contains(line, text) {
				return line
			}
		case <-time.After(limit):
			t.Fatalf("no line with %q", text)
		}
	}
}

// On SIGHUP the file is read again: a bad one changes nothing and its key is logged, a good one moves the watch on
// from the list as it stands, with a request under way. SIGTERM beside a SIGHUP still ends the program in order.
func TestSignals(t *testing.T) {
	r := play(t, 0)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(r.file(r.disc.Addr()))
	log, code := make(lines, 1024), make(chan int, 1)
	go func() {
		code <- Main(nil, func(k string) string {
			return map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": r.disc.Addr().String()}[k]
		}, io.Discard, log, alone{})
	}()
	_, rest, _ := strings.Cut(log.until(t, `"serving"`), `"listen":"`)
	r.address, _, _ = strings.Cut(rest, `"`)
	r.watch().line(`{"generation":8,"instances":` + r.instances() + `}`)
	cl := r.connect()
	cl.query(text(writeText, 1))
	held := r.hosts[0].next()

	write([]byte(`{"listen":7}`))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.until(t, "listen: is a number")
	r.disc.Close()
	write(r.file(r.discovery().Addr()))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if a := r.watch(); !strings.HasPrefix(a.request, "GET /api/targets?stream=1&index=") || strings.Contains(a.request, "index=0 ") {
		t.Errorf("asked %q", a.request)
	}
	held.answer("v")
	cl.want("value v")
	cl.query(text(writeText, 2))
	held = r.hosts[0].next()
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.until(t, "told to end")
	held.answer("w")
	cl.want("value w")
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("ended with %d", c)
		}
	case <-time.After(limit):
		t.Fatal("does not end")
	}
}

// An answer ends where it ends. Whatever a host sends besides, its connection is not used again; a good answer
// before it counts, a spoilt one has failed and may have run, and the next request gets its own answer.
func TestSpoiltAnswers(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Settings.DialTimeout = 200e3 })
	ready := string(pgwire.AppendReadyForQuery(nil))
	good, failed := "value v", "error "+pgwire.CodeSystemError
	whole := string(row("v"))
	full := string(pgwire.AppendError(nil, pgwire.Error{Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "no"}))
	status := func(name, value string) string { return string(pgwire.AppendParameterStatus(nil, name, value)) }
	for name, c := range map[string]struct{ sent, want string }{
		"a second copy":            {whole + ready + whole + ready, good},
		"noise behind":             {whole + ready + "\xff\x00noise", good},
		"one byte behind":          {whole + ready + "T", good},
		"a refusal behind":         {whole + ready + full + ready, good},
		"a report without sense":   {status("vitals", "x0=?,x1=1") + status("as_of", "-1e9") + "S\x00\x00\x00\x08open" + whole + ready, good},
		"noise":                    {"\xde\xad\xbe\xef", failed},
		"a line":                   {"HTTP/1.1 200 OK\r\n", failed},
		"noise before the row":     {"!" + whole + ready, failed},
		"noise for the end":        {whole + "!", failed},
		"two rows":                 {whole + whole + ready, failed},
		"a row without its head":   {whole[strings.IndexByte(whole, 'D'):] + ready, failed},
		"no row":                   {string(pgwire.AppendCommandComplete(nil, "SELECT 0")) + ready, failed},
		"nothing but ready":        {ready, failed},
		"3 GB":                     {whole[:strings.IndexByte(whole, 'D')] + "D\xb2\xd0\x5e\x00\x00\x01\xb2\xd0\x5d\xf6vvvv", failed},
		"length below 4":           {"D\x00\x00\x00\x00", failed},
		"a value cut short":        {strings.Replace(whole, "\x00\x00\x00\x01v", "\x00\x00\x00\x00v", 1) + ready, failed},
		"an error without its end": {"E\x00\x00\x00\x0cC53300\x00S" + ready, failed},
		"a refusal and more":       {full + "T" + ready, failed},
		"an answer without end":    {whole[:len(whole)-3], failed},
	} {
		t.Run(name, func(t *testing.T) {
			cl := r.connect()
			cl.query(text(writeText, 1))
			if _, err := r.hosts[0].next().conn.Write([]byte(c.sent)); err != nil {
				t.Fatal(err)
			}
			cl.want(c.want)
			if name != "a report without sense" {
				select {
				case <-r.hosts[0].closed:
				case <-time.After(limit):
					t.Fatal("the connection stays open")
				}
			}
			cl.query(text(writeText, 2))
			r.hosts[0].next().answer("own")
			cl.want("value own")
			cl.c.Close()
		})
	}
}

// What a host sends while its connection rests is nobody's answer.
func TestNoiseWhileIdle(t *testing.T) {
	r := start(t, 0)
	cl := r.connect()
	cl.query(text(writeText, 1))
	q := r.hosts[0].next()
	q.answer("v")
	cl.want("value v")
	_, _ = q.conn.Write(append(row("late"), pgwire.AppendReadyForQuery(nil)...))
	cl.query(text(writeText, 2))
	r.hosts[0].next().answer("own")
	cl.want("value own")
}

// A host moves while a connection to its old address opens: what waits for that goes to the new one.
func TestHostMovesWhileDialled(t *testing.T) {
	r := play(t, 0)
	r.hosts[0].hold = make(chan struct{})
	r.start()
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next() // its startup is here
	moved := newHost(t, true)
	r.watch().line(fmt.Sprintf(`{"generation":8,"instances":[{"instanceId":"s-0","hostPort":%q,"cell":1,"lifecycle":"SERVING"}]}`, moved.ln.Addr()))
	for !r.told(8) {
	}
	close(r.hosts[0].hold)
	moved.next().answer("v")
	cl.want("value v")
}

// A host whose connections come up long after they were given up, again and again, is dialled ever less often; no attempt
// stays behind a dial that was given up, and once the host welcomes in time it is found.
func TestLateDials(t *testing.T) {
	const given = 1500 // ms
	r := play(t, 0)
	r.hosts[0].hold = make(chan struct{})
	r.start(func(c *config.Config) { c.Settings.DialTimeout = 50e3 })
	var clients []*app
	for id := range 8 {
		cl := r.connect()
		cl.query(fmt.Sprintf(writeText, id, given))
		clients = append(clients, cl)
	}
	for _, cl := range clients {
		if got := cl.answer(); !strings.HasPrefix(got, "error 53300") {
			t.Errorf("answered %q", got)
		}
	}
	var begun int
	r.do(func() { begun, _ = r.s.pool.Dials() })
	t.Logf("%d dials in %d ms", begun, given)
	if begun > 10 { // four at once, and then probes that grow rarer; 8 were seen
		t.Errorf("%d dials, want 10 at most", begun)
	}
	close(r.hosts[0].hold)
	cl := r.connect()
	cl.query(text(writeText, 100))
	r.hosts[0].query().answer("v")
	cl.want("value v")
}

// Hosts that the list has dropped are forgotten with their connections.
func TestGoneHostsAreForgotten(t *testing.T) {
	r := start(t, 1)
	cl := r.connect()
	cl.query(text(writeText, 1))
	r.hosts[0].next().answer("v")
	cl.want("value v")
	a := r.watch()
	a.line(`{"generation":8,"instances":[{"instanceId":"s-0","lifecycle":"DELETED","cell":1}]}`)
	select {
	case <-r.hosts[0].closed:
	case <-time.After(limit):
		t.Fatal("the connection stays open")
	}
	a.line(`{"generation":9,"reset":true,"instances":[]}`)
	for known := 2; known > 0; {
		r.do(func() { known = r.s.pool.KnownHosts() })
	}
}

// The id of a request that is owed an answer belongs to it: another under it gets an error and goes to no host.
func TestOpenIDIsNotTakenAgain(t *testing.T) {
	r := start(t, 0)
	cl, other := r.connect(), r.connect()
	cl.query(text(writeText, 1))
	held := r.hosts[0].next()
	other.query(text(writeText, 1))
	other.want("error 42601")
	held.answer("v")
	cl.want("value v")
	other.query(text(writeText, 1)) // it is free again
	r.hosts[0].next().answer("w")
	other.want("value w")
}

// Clients that say nothing, stop in their startup or in a message are closed, and so is one that rests too long; a
// request under way goes on.
func TestSilentClientsAreClosed(t *testing.T) {
	r := play(t, 0)
	r.patience = patience{50e3, 100e3, 0}
	r.start()
	busy := r.dial() // its query comes with the startup: a later one might find the time over
	busy.write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", "worker"), text(writeText, 1)))
	busy.want("")
	held := r.hosts[0].next()
	startup := pgwire.AppendStartup(nil, "user", "worker")
	for _, said := range [][]byte{nil, startup[:9], startup, append(startup, "Q\x00\x00\x00\x20/* id"...)} {
		cl := r.dial()
		cl.write(said)
		if len(said) >= len(startup) {
			cl.want("")
		}
		cl.want("closed")
	}
	held.answer("v")
	busy.want("value v")
	busy.want("closed")
}

// Any number of silent connections leaves the clients that ask theirs.
func TestSilentClientsCrowdNobodyOut(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Sockets = reserved + 8 }) // 4 clients
	var usual []*app
	for id := 0; id < 2; id++ {
		usual = append(usual, r.connect())
		usual[id].query(text(writeText, id))
		r.hosts[0].next().answer("v")
		usual[id].want("value v")
	}
	silent := []*app{r.connect(), r.connect()}
	for range 10 {
		silent = append(silent, r.connect())
		silent[0].want("closed")
		silent = silent[1:]
	}
	for id, cl := range usual {
		cl.query(text(writeText, 10+id))
		r.hosts[0].next().answer("w")
		cl.want("value w")
	}
}

// Clients that asked once and stay make room for new ones, however slowly those come to their first query.
func TestClientsThatStayMakeRoom(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Sockets = reserved + 8 }) // 4 clients
	var stay []*app
	for id := 0; id < 4; id++ {
		stay = append(stay, r.connect())
		stay[id].query(text(writeText, id))
		r.hosts[0].next().answer("v")
		stay[id].want("value v")
	}
	slow := []*app{r.connect(), r.connect()}
	stay[0].want("closed")
	stay[1].want("closed")
	for id, cl := range slow {
		cl.query(text(writeText, 10+id))
		r.hosts[0].next().answer("w")
		cl.want("value w")
	}
}

// Clients that asked once and stay are closed beyond a quarter of the descriptors, the longest resting first, though
// there is room here: their side has only so many.
func TestClientsThatStayAreThinned(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.Sockets = reserved + 64 }) // 35 clients, of which 26 may have asked
	var stay []*app
	for id := 0; id < 27; id++ {
		stay = append(stay, r.connect())
		stay[id].query(text(writeText, id))
		r.hosts[0].next().answer("v")
		stay[id].want("value v")
	}
	stay[0].want("closed")
	stay[1].query("")
	stay[1].want("empty")
}

// What clients have begun and not ended is bounded in all: the one that holds most has to go, not the one that comes.
func TestHeldBytesAreBounded(t *testing.T) {
	r := start(t, 0, func(c *config.Config) { c.MemoryMB = 1 }) // 128 KiB
	usual, large := r.connect(), r.connect()
	usual.query(text(writeText, 1))
	held := r.hosts[0].next()
	large.write(append([]byte("Q\x00\x03\xff\x00"), bytes.Repeat([]byte("x"), 160<<10)...))
	large.ends()
	held.answer("v")
	usual.want("value v")
}

// A connection that rests is ended by a lingering close: what its client is just sending is never sent on, and resets
// nothing. The client that does not end its side holds up the end for a moment only.
func TestRestingClientIsNotReset(t *testing.T) {
	for name, ends := range map[string]bool{"ends its side": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 0)
			cl := r.connect()
			cl.query(text(writeText, 1))
			r.hosts[0].next().answer("v")
			cl.want("value v")
			r.do(func() { r.s.frontend.Shutdown(r.s.loop.Stop) })
			for id := range 50 { // a reset would fail one of these
				cl.query(text(writeText, 10+id))
			}
			cl.want("closed")
			if ends {
				cl.c.Close()
			}
			select {
			case <-r.ended:
			case <-time.After(limit):
				t.Fatal("does not end")
			}
			if n := len(r.hosts[0].queries); n > 0 {
				t.Errorf("%d requests were sent on after the end", n)
			}
		})
	}
}

// A client may leave while its request waits for a connection, and word of it may lie behind much else. The last look is
// at its own socket: nothing is sent for it.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	r := play(t, 0)
	r.hosts[0].hold = make(chan struct{})
	r.start(func(c *config.Config) { c.MemoryMB = 1 }) // 64 KiB that are not handled make the engine wait
	cl, flood := r.connect(), r.connect()
	cl.query(text(writeText, 1))
	if q := r.hosts[0].next(); q != nil {
		t.Fatal("a query before the welcome")
	}
	r.do(func() {
		close(r.hosts[0].hold)
		<-r.hosts[0].welcomed
		flood.write(append([]byte("Q\x00\x03\xff\x00"), bytes.Repeat([]byte("x"), 160<<10)...)) // the engine waits behind the welcome
		cl.c.Close()
	})
	next := r.connect()
	next.query(text(writeText, 2))
	q := r.hosts[0].query()
	if !strings.Contains(q.text, "id=2,") {
		t.Fatalf("sent for nobody: %s", q.text)
	}
	q.answer("w")
	next.want("value w")
}

// A request is cancelled from another connection by number and secret: it ends at once, and is not sent on. Nothing else
// cancels it.
func TestCancelRequest(t *testing.T) {
	r := play(t, 0)
	r.hosts[0].hold = make(chan struct{})
	r.start()
	cl := r.dial()
	cl.write(pgwire.AppendStartup(nil, "user", "worker"))
	key := cl.key()
	cl.query(text(writeText, 1))
	if q := r.hosts[0].next(); q != nil {
		t.Fatal("a query before the welcome")
	}
	for i := range len(key) {
		wrong := bytes.Clone(key)
		wrong[i] ^= 1
		other := r.dial()
		other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), wrong...))
		other.want("closed")
	}
	if !r.owed() {
		t.Fatal("cancelled by a wrong key")
	}
	other := r.dial()
	other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	other.want("closed")
	cl.want("error 57014")
	close(r.hosts[0].hold)
	cl.query(text(writeText, 2))
	q := r.hosts[0].query()
	if !strings.Contains(q.text, "id=2,") {
		t.Fatalf("sent although cancelled: %s", q.text)
	}
	q.answer("w")
	cl.want("value w")
	other = r.dial() // with nothing under way it cancels nothing
	other.write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	other.want("closed")
	cl.query("")
	cl.want("empty")
}

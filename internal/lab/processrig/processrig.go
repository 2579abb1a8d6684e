package processrig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/loopback"
)

// Options of a run.
type Options struct {
	Program  string
	Gateways int
	Hosts    int // in groups of Members
	Members  int
	For      time.Duration
	Seed     uint64
	Plan     string
	Use      float64 // part of what the hosts can do that is asked for
	Policy   string  // "": the program as it is; "random": gateways tell one another nothing; "before": a Program of another version
	// "blind-herd": all go to the host that was told to be least loaded; "subset-fixed": to the same part of the hosts;
	// "abrupt": a planned restart gives no time to end.
	Break string
	Zoned *Zoned // nil: one zone
	Log   func(format string, a ...any)
}

// Result of a run.
type Result struct {
	Gateways     int     `json:"gateways"`
	Hosts        int     `json:"hosts"`
	Seed         uint64  `json:"seed"`
	Plan         string  `json:"plan"`
	PlanHash     string  `json:"plan_hash"`
	Policy       string  `json:"policy"`
	Requests     int     `json:"requests"`
	Lost         int     `json:"lost"` // no answer from a gateway that was neither stopped nor killed meanwhile
	Disturbed    int     `json:"disturbed"`
	Late         int     `json:"late"`       // answered after their time
	ClosedNew    int     `json:"closed_new"` // connections that were closed before their first answer; they count as refused
	SentAgain    int     `json:"sent_again"` // requests that met the end of a connection that had rested
	Killed       int     `json:"killed"`     // gateways that had not ended by themselves when they had to
	InTime       float64 `json:"in_time"`    // of all, by worth
	Refused      int     `json:"refused"`
	Spread       Spread  `json:"spread"`
	PeerBytes    float64 `json:"peer_bytes_per_request"`
	PeerMessages int     `json:"peer_messages"`
	PeerLost     int     `json:"peer_lost"`
	CPU          float64 `json:"cpu_ms_per_request"`
	Left         int     `json:"gateways_left"`
	Died         int     `json:"gateways_died"` // by themselves
	Events       []Event `json:"events"`
	SettlingMS   int64   `json:"settling_ms"`
	Zone         *Left   `json:"zone,omitempty"`
	HerdsAtMost  int     `json:"herd_windows_at_most"`
	CVAtMost     float64 `json:"cv_1s_at_most"`
}

const (
	work     = 40 * time.Millisecond
	cores    = 2
	settling = 3 * time.Second        // from the first request on: connections open, and what is told is known
	slack    = 500 * time.Millisecond // an answer that comes so long after its time earns nothing; later, or never, it is lost
)

// Run plays once. It ends only what it started.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	if o.Gateways < 1 || o.Members < 2 || o.Hosts < o.Members || o.For < 2*settling || o.Use <= 0 {
		return nil, fmt.Errorf("a run wants a gateway, groups of two hosts, %v and some load", 2*settling)
	}
	var events []Event
	var err error
	cut := func(time.Duration, int, int) bool { return false }
	if o.Zoned != nil {
		o.Zoned.Bad, events, cut, err = ZonePlan(o.Plan, o.Gateways, o.Zoned.Zones, o.For)
		if o.Zoned.Doors = o.Plan == "partial"; o.Plan == "full" {
			o.Use = 0.8
		}
		o.Zoned.Hosts = map[string]int{"host": 1, "group": o.Members - 1}[o.Plan]
	} else {
		events, err = MakePlan(o.Plan, o.Seed, o.Gateways, o.For)
	}
	if err != nil {
		return nil, err
	}
	res := &Result{Gateways: o.Gateways, Seed: o.Seed, Plan: o.Plan, Policy: o.Policy, Events: events, SettlingMS: settling.Milliseconds()}
	if res.PlanHash, err = Hash(events); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "tier-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory that is left behind does no harm
	t := &stage{Options: o, dir: dir, events: events, res: res, cut: cut}
	defer t.end()
	if err := t.open(); err != nil {
		return nil, err
	}
	return res, t.play(ctx)
}

// stage is the processes and stand-ins of one run.
type stage struct {
	Options
	dir      string
	events   []Event
	res      *Result
	hosts    []*emulator.Host
	logs     []hostLog
	mu       sync.Mutex // of the logs
	began    time.Time
	list     string // of all hosts; short lacks the last of each group
	short    string
	discos   []*emulator.Discovery // by gateway
	exchange *exchange
	post     *post // of gateways that decide together
	cut      func(at time.Duration, from, to int) bool
	gates    []*gate
	dead     time.Duration // processor time of processes that ended
}

// gate is one gateway.
type gate struct {
	listen, peer, config string
	fleet                string // where it hears those with which it decides
	settings             string // its file, if it decides with others
	cmd                  *exec.Cmd
	gone                 chan struct{}
	killed               bool
	away                 atomic.Bool // the front sends no new connections
	hurt                 []span      // when it was stopped or dead
}

type span struct{ from, to time.Time }

func (t *stage) open() error {
	var all, most []map[string]any
	groups := t.Hosts / t.Members
	t.res.Hosts = groups * t.Members
	t.logs = make([]hostLog, t.res.Hosts)
	for i := range t.res.Hosts {
		h, err := emulator.NewHost(fmt.Sprintf("s-%d", i), work, 15*time.Millisecond)
		if err != nil {
			return err
		}
		t.hosts = append(t.hosts, h)
		t.logs[i].group = i / t.Members
		h.SetPrimary(i%t.Members == 0)
		h.LimitCores(cores, func(before int) {
			t.mu.Lock()
			t.logs[i].all = append(t.logs[i].all, arrival{time.Since(t.began), before})
			t.mu.Unlock()
		})
		rank := "copy"
		if i%t.Members == 0 {
			rank = "source"
		}
		all = append(all, map[string]any{"instanceId": h.ID, "hostPort": h.Address(), "cell": 1 + i/t.Members, "lifecycle": "SERVING", "rank": rank,
			"zone": t.zoneName(i)})
		if i%t.Members < t.Members-1 {
			most = append(most, all[i])
		}
	}
	var err error
	if t.list, err = list(7, all); err != nil {
		return err
	}
	if t.short, err = list(6, most); err != nil {
		return err
	}
	if t.Plan != "join" && t.Break != "subset-fixed" {
		t.short = t.list
	}
	doors := t.short
	if t.Zoned != nil && t.Zoned.Doors {
		for i, h := range t.hosts {
			if all[i]["hostPort"], err = h.ListenSecond(); err != nil {
				return err
			}
		}
		if doors, err = list(7, all); err != nil {
			return err
		}
	}
	for i := range t.Gateways {
		d, err := emulator.NewDiscovery()
		if err != nil {
			return err
		}
		if d.Publish(t.short); i%2 == 1 {
			d.Publish(doors)
		}
		t.discos = append(t.discos, d)
	}
	free, err := loopback.Reserve(3 * t.Gateways)
	if err != nil {
		return err
	}
	var peers []string
	for i := range t.Gateways {
		t.gates = append(t.gates, &gate{listen: free[3*i], peer: free[3*i+1], fleet: free[3*i+2], config: filepath.Join(t.dir, fmt.Sprintf("%d.json", i))})
		peers = append(peers, free[3*i+1])
	}
	var spoil func([]byte)
	switch t.Break {
	case "blind-herd":
		spoil = blind
	case "", "subset-fixed", "abrupt":
	default:
		return fmt.Errorf("break %q: there are blind-herd, subset-fixed and abrupt", t.Break)
	}
	switch t.Policy {
	case "", "random", "before":
	default:
		return fmt.Errorf("policy %q: there are random and before", t.Policy)
	}
	if t.exchange, err = newExchange(peers, t.Seed, spoil); err != nil {
		return err
	}
	if t.Zoned != nil {
		var at []string
		for _, g := range t.gates {
			at = append(at, g.fleet)
		}
		if t.post, err = newPost(at, t.Plan == "loss", func(from, to int) bool { return t.cut(time.Since(t.start0()), from, to) }); err != nil {
			return err
		}
	}
	for i := range t.gates {
		if t.Zoned != nil && !t.Zoned.Alone {
			if t.gates[i].settings, err = t.settingsFile(i); err != nil {
				return err
			}
		}
		if err := t.configure(i); err != nil {
			return err
		}
		if err := t.start(i); err != nil {
			return err
		}
	}
	return nil
}

// start0 is when requests began; far ahead until they do.
func (t *stage) start0() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return t.began
}

// zoneName is a host's or gateway's zone.
func (t *stage) zoneName(i int) string {
	if t.Zoned == nil {
		return ""
	}
	return fmt.Sprint("z", i%t.Zoned.Zones)
}

// list is what discovery tells of hosts.
func list(generation int, hosts []map[string]any) (string, error) {
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": hosts})
	return string(b), err
}

// blind has a digest say that one replica has nothing to do, and that all others are busy and answer in no time, so that every
// gateway goes to the one that was last told to be least loaded (the layout: internal/gossip, message.go).
func blind(b []byte) {
	const head, each, leads = 10, 4, 0x80
	if len(b) < head || b[0] != 4 {
		return
	}
	first, least := head, 0
	if b[9]&leads != 0 {
		first += each // the primary
	}
	for i := first; i+each <= len(b); i += each {
		if b[i+2] < 255 && (least == 0 || b[i+3]>>3 < b[least+3]>>3) { // its position is told: it may get reads
			least = i
		}
	}
	for i := first; i+each <= len(b); i += each {
		if b[i+3] = 1; i != least {
			b[i+3] = 31<<3 | 6
		}
	}
	b[9] = b[9]&leads | 1
}

func (t *stage) configure(i int) error {
	type m = map[string]any
	g := t.gates[i]
	conf := m{"name": fmt.Sprintf("n%d", i), "listen": g.listen, "discovery": t.discos[i].Address(), "seed": fmt.Sprintf("%x", t.Seed*1000+uint64(i)),
		"limits": m{"memory_mb": 64, "sockets": 512}, "known": json.RawMessage(t.short),
		"settings": m{"tickMs": 5.0, "classes": emulator.ClassSettings(), "balancers": t.Gateways, "ordinal": i, "extra": m{"classRead": []string{"recent", "own_writes", "update"},
			"stalenessBoundMs": []int{500, 0, 0}, "serverChecks": "none", "tokens": "client"}, "costs": m{"peer": 0.012},
			"report":      m{"fields": []string{"x0", "x1"}, "source": "answers"},
			"limits":      m{"cancel": true, "probes": true, "mayTell": true, "dialTimeoutMs": 250, "idleCloseMs": 30000, "maxAttempts": 10, "maxRetryAfterMs": 1000},
			"obligations": m{"coldFrom": 0.25, "coldMs": 16000, "drainGraceMs": 1000, "fallMultiple": 4, "overloadForMs": 1500}}}
	if t.Zoned != nil {
		var names []string
		for i := range t.Zoned.Zones {
			names = append(names, t.zoneName(i))
		}
		set := conf["settings"].(m)
		set["zones"], set["zone"] = names, i%t.Zoned.Zones
		set["obligations"].(m)["coldMs"] = coldFor.Milliseconds()
	}
	if t.Policy != "random" {
		var peers []string
		for _, c := range t.exchange.socks {
			peers = append(peers, c.LocalAddr().String())
		}
		conf["peer_listen"], conf["peers"], conf["peers_all"] = g.peer, peers, t.exchange.all.LocalAddr().String()
	}
	b, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	return os.WriteFile(g.config, b, 0o600)
}

func (t *stage) start(i int) error {
	g := t.gates[i]
	log, err := os.OpenFile(filepath.Join(t.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has written its log itself
	args := []string{"serve"}
	if g.settings != "" {
		args = append(args, "--settings", g.settings)
	}
	cmd := exec.Command(t.Program, args...)
	cmd.Env, cmd.Stderr = append(os.Environ(), "EDGE_CONFIG="+g.config), log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the run
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", i, err)
	}
	g.cmd, g.gone, g.killed = cmd, make(chan struct{}), false
	go func(gone chan struct{}) {
		_ = cmd.Wait()
		t.mu.Lock()
		t.dead += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		t.mu.Unlock()
		close(gone)
	}(g.gone)
	return nil
}

// ready waits until gateways take connections.
func (t *stage) ready(ctx context.Context, gates ...int) error {
	for _, i := range gates {
		for g := t.gates[i]; ; {
			c, err := net.DialTimeout("tcp4", g.listen, time.Second)
			if err == nil {
				_ = c.Close() // the connection is over either way
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("gateway %d does not come up: %w", i, ctx.Err())
			case <-g.gone:
				return fmt.Errorf("gateway %d ended at its start", i)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

func (t *stage) play(ctx context.Context) error {
	up, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var all []int
	for i := range t.gates {
		all = append(all, i)
	}
	if err := t.ready(up, all...); err != nil {
		return err
	}
	// What a request costs at a host, on the mean, and what the replicas and primaries of all groups can do.
	rate := t.Use * float64(t.res.Hosts*cores) / work.Seconds()
	load := &emulator.Load{Address: t.gates[0].listen, Groups: t.res.Hosts / t.Members, Rate: rate, Seed: t.Seed, AnswerSlack: slack,
		Draining: func(gate int) bool { return t.gates[gate].away.Load() }}
	for _, g := range t.gates[1:] {
		load.Others = append(load.Others, g.listen)
	}
	t.Log("%d gateways, %d hosts, %.0f requests a second, plan %s %s", t.Gateways, t.res.Hosts, rate, t.Plan, t.res.PlanHash)
	t.mu.Lock()
	t.began = time.Now()
	t.mu.Unlock()
	run, stop := context.WithTimeout(ctx, t.For)
	defer stop()
	var wg sync.WaitGroup
	for _, e := range t.events {
		wg.Go(func() { t.carryOut(run, e) })
	}
	if t.Zoned != nil {
		bad := t.Zoned.Bad
		if t.Zoned.Hosts > 0 || t.Zoned.Doors {
			bad = []Outage{{0, t.For.Milliseconds() / 6, t.For.Milliseconds() / 5}}
		}
		for _, o := range bad {
			wg.Go(func() { t.outage(o, func(d time.Duration) bool { return wait(run, d) }) })
		}
	}
	samples := load.Run(run)
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	t.res.SentAgain = load.Resent()
	t.judge(samples)
	if t.Zoned != nil {
		var err error
		t.res.Zone, err = t.judgeZones(samples)
		return err
	}
	return nil
}

// carryOut has a fault come and go.
func (t *stage) carryOut(ctx context.Context, e Event) {
	g := t.gates[e.Gate]
	if !wait(ctx, time.Until(t.began.Add(time.Duration(e.AtMS)*time.Millisecond))) {
		return
	}
	from, stay := time.Now(), time.Duration(e.ForMS)*time.Millisecond
	switch e.Fault {
	case Stop:
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
		wait(ctx, stay)
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
	case Kill:
		t.mu.Lock()
		g.killed = true
		t.mu.Unlock()
		_ = g.cmd.Process.Kill()
		<-g.gone
		wait(ctx, stay)
		if err := t.start(e.Gate); err != nil {
			t.Log("%v", err)
		}
	case Restart:
		t.restart(e.Gate, g, stay)
		return // what it has taken is to be answered
	case Join:
		t.discos[e.Gate].Publish(t.list)
		return
	case Cut, Late, Lossy:
		t.exchange.set(e.Gate, func(l *link) {
			l.dumb, l.deaf, l.lossy, l.delay = e.From, e.To, e.Fault == Lossy, time.Duration(e.Delay)*time.Millisecond
		})
		wait(ctx, stay)
		t.exchange.set(e.Gate, func(l *link) { *l = link{} })
		return // what clients ask is to be answered all the same
	}
	t.mu.Lock()
	g.hurt = append(g.hurt, span{from, time.Now().Add(100 * time.Millisecond)}) // and until it takes connections
	t.mu.Unlock()
}

// restart ends a gateway as planned: clients send on connections that stay open until it is gone, and new ones for a while.
func (t *stage) restart(i int, g *gate, front time.Duration) {
	told, sig := time.Now(), syscall.SIGTERM
	if t.Break == "abrupt" {
		sig = syscall.SIGKILL
	}
	_ = g.cmd.Process.Signal(sig)
	wait(context.Background(), front)
	g.away.Store(true)
	longest := time.Duration(0)
	for _, c := range emulator.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-g.gone:
	case <-time.After(time.Until(told.Add(longest + 700*time.Millisecond))):
		t.mu.Lock()
		t.res.Killed++
		t.mu.Unlock()
		_ = g.cmd.Process.Kill()
		<-g.gone
	}
	if err := t.start(i); err != nil {
		t.Log("%v", err)
		return
	}
	up, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := t.ready(up, i); err != nil {
		t.Log("%v", err)
		return
	}
	g.away.Store(false)
}

// wait pauses, and tells whether the run still goes on.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (t *stage) judge(samples []emulator.Sample) {
	r := t.res
	var earned, asked float64
	for _, s := range samples {
		r.Requests++
		earned += s.EarnedWeight()
		if (s.Err == nil || errors.Is(s.Err, emulator.ErrRejected)) && s.Latency > emulator.Classes[s.Class].Deadline {
			r.Late++
		}
		asked += s.Weight()
		hurt := slices.ContainsFunc(t.gates[s.Gateway].hurt, func(h span) bool { return s.At.Before(h.to) && s.At.Add(s.Latency).After(h.from) })
		closed := errors.Is(s.Err, emulator.ErrConnectionClosed)
		if closed && !hurt {
			r.ClosedNew++
		}
		switch {
		case s.Err == nil:
		case errors.Is(s.Err, emulator.ErrRejected) && (!closed || !hurt):
			r.Refused++
		case hurt:
			r.Disturbed++
		default:
			r.Lost++
			t.Log("lost at gateway %d, sent at %v: %v after %v", s.Gateway, s.At.Sub(t.began), s.Err, s.Latency)
		}
	}
	r.InTime = earned / max(asked, 1)
	n := float64(max(r.Requests, 1))
	var bytes int
	r.PeerMessages, bytes, r.PeerLost = t.exchange.counts()
	r.PeerBytes = float64(bytes) / n
	var conns []int
	for _, h := range t.hosts {
		conns = append(conns, h.Connections())
	}
	for _, g := range t.gates {
		select {
		case <-g.gone:
			r.Died++
		default:
		}
		_ = g.cmd.Process.Kill()
		select {
		case <-g.gone:
		case <-time.After(5 * time.Second):
			r.Left++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.CPU = float64(t.dead.Milliseconds()) / n
	var replicas []hostLog
	known := time.Duration(0)
	for _, e := range t.events {
		if e.Fault == Join {
			known = max(known, time.Duration(e.AtMS)*time.Millisecond+settling)
		}
	}
	for i, l := range t.logs {
		if i%t.Members == t.Members-1 {
			l.fit = known
		}
		if i%t.Members > 0 {
			slices.SortFunc(l.all, func(a, b arrival) int { return int(a.at - b.at) })
			replicas = append(replicas, l)
		}
	}
	r.Spread = measure(replicas, settling, t.For)
	slices.Sort(conns)
	r.Spread.ConnectionsP50, r.Spread.ConnectionsMax = conns[len(conns)/2], conns[len(conns)-1]
	r.HerdsAtMost, r.CVAtMost = int(1.5*r.Spread.FairHerds)+20, 2*r.Spread.Fair1s
}

// Found names what must not be.
func (r *Result) Found() (faults []string) {
	for what, bad := range map[string]bool{
		"requests were lost":                         r.Lost > 0,
		"hosts were idle":                            r.Spread.IdleSeconds > 0,
		"more herds than chance and half as many":    r.Spread.HerdWindows > r.HerdsAtMost,
		"twice as uneven over a second as by chance": r.Spread.CV1s > r.CVAtMost,
		"gateways ended by themselves or were left":  r.Died > 0 || r.Left > 0,
		"gateways told to end did not in time":       r.Killed > 0,
		"one new connection in 200 got no answer":    r.ClosedNew*200 > r.Requests,
	} {
		if bad {
			faults = append(faults, what)
		}
	}
	slices.Sort(faults)
	return faults
}

// FoundInZones names what must not be in a run with zones.
func (r *Result) FoundInZones(alone bool) (faults []string) {
	if r.Lost > 0 {
		faults = append(faults, "requests were lost")
	}
	if r.Died > 0 || r.Left > 0 {
		faults = append(faults, "gateways ended by themselves or were left")
	}
	return append(faults, r.Zone.faults(r.Plan, r.Gateways, alone)...)
}

// end ends all that was started and is still there.
func (t *stage) end() {
	for _, g := range t.gates {
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
			<-g.gone
		}
	}
	if t.exchange != nil {
		t.exchange.close()
	}
	if t.post != nil {
		t.post.close()
	}
	for _, d := range t.discos {
		d.Close()
	}
	for _, h := range t.hosts {
		h.Close()
	}
}

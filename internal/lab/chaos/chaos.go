package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

// Options of a rehearsal.
type Options struct {
	Instances int
	For       time.Duration
	Seed      uint64
	LoseSyncs bool
	Program   string // "": beside this one
	Keep      bool   // keep the directory
	Log       func(format string, a ...any)
}

// Result of a rehearsal.
type Result struct {
	Seed               uint64   `json:"seed"`
	Instances          int      `json:"instances"`
	Kills              int      `json:"kills"`
	PowerLosses        int      `json:"power_losses"`
	Cuts               int      `json:"cuts"`
	OneWayCuts         int      `json:"one_way_cuts"`
	FullRestarts       int      `json:"full_restarts"`
	Operations         int      `json:"operations"`
	Acknowledged       int      `json:"acknowledged"`
	Unknown            int      `json:"unknown"`
	Lost               int      `json:"lost"`
	Contradictions     int      `json:"contradictions"`
	Linearizable       bool     `json:"linearizable"`
	LongestUnavailable int64    `json:"longest_unavailable_ms"`
	UnaskedEnds        int      `json:"unasked_ends"` // processes that ended by themselves
	Converged          bool     `json:"converged"`    // all instances came to one state in the end
	What               []string `json:"what,omitempty"`
	Directory          string   `json:"directory,omitempty"`
}

const (
	workers   = 6
	registers = 4
	epoch     = 2 * time.Second // registers are new so often: an unknown write is weighed against few others
	namespace = "rehearsal"
)

// call is one operation on a register, as porcupine takes it.
type call struct {
	kind     byte // r, w, c: read, write, change if the value is Old
	Old, New string
}

type reply struct {
	Value string
	Done  bool
	Known bool
}

type run struct {
	Options
	c      *cluster
	began  time.Time
	mu     sync.Mutex
	ops    []porcupine.Operation
	acked  map[string]int // key of a write that was acknowledged, and its worker
	res    Result
	latest time.Time // of the last success
	gap    time.Duration
}

// Run rehearses once.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Program == "" {
		var err error
		if o.Program, err = Beside(); err != nil {
			return nil, err
		}
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	dir, err := os.MkdirTemp("", "store-chaos-")
	if err != nil {
		return nil, err
	}
	if !o.Keep {
		defer os.RemoveAll(dir)
	}
	r := &run{Options: o, acked: map[string]int{}, res: Result{Seed: o.Seed, Instances: o.Instances}}
	if o.Keep {
		r.res.Directory = dir
	}
	if r.c, err = found(dir, o.Program, o.Instances, o.LoseSyncs); err != nil {
		return nil, err
	}
	defer r.c.end()
	for _, p := range r.c.all {
		if err := r.c.start(p); err != nil {
			return nil, err
		}
	}
	r.began = time.Now()
	r.latest = r.began
	work, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.work(work, w)
		}()
	}
	if err := r.faults(ctx); err != nil {
		return nil, err
	}
	stop()
	wg.Wait()
	r.judge(ctx)
	r.res.UnaskedEnds = r.ended()
	return &r.res, ctx.Err()
}

// ended counts the processes that ended by themselves.
func (r *run) ended() (n int) {
	for _, p := range r.c.all {
		p.mu.Lock()
		n += p.unasked
		p.mu.Unlock()
	}
	return n
}

// Good tells whether nothing was found that must not be.
func (r *Result) Good() bool {
	return r.Lost == 0 && r.Contradictions == 0 && r.Linearizable && r.Converged && r.UnaskedEnds == 0 && r.Acknowledged > 0
}

func (r *run) faulty(format string, a ...any) {
	if len(r.res.What) < 20 {
		r.res.What = append(r.res.What, fmt.Sprintf(format, a...))
	}
}

// faults plays what the seed says until the time is over, and then mends everything.
func (r *run) faults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.Seed, 5))
	pause := func(least, most int) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(least+rng.IntN(most-least)) * time.Millisecond):
			return true
		}
	}
	if !pause(800, 1200) {
		return ctx.Err()
	}
	// Each kind comes once before chance picks, so that a short rehearsal has them all.
	order := rng.Perm(5)
	for n := 0; n < len(order) || time.Since(r.began) < r.For; n++ {
		kind := rng.IntN(5)
		if n < len(order) {
			kind = order[n]
		}
		i := rng.IntN(len(r.c.all))
		p := r.c.all[i]
		power := rng.IntN(2) == 0 || r.LoseSyncs
		switch kind {
		case 0, 1: // one dies, and comes back
			r.Log("kill %s, power %t", p.name, power)
			if err := p.kill(power); err != nil {
				return err
			}
			r.res.Kills++
			if power {
				r.res.PowerLosses++
			}
			if !pause(100, 1500) {
				return ctx.Err()
			}
			if err := r.c.start(p); err != nil {
				return err
			}
		case 2, 3: // one is cut off: wholly, or only what it says, or only what it hears
			way := 0
			if kind == 3 {
				way = 1 + rng.IntN(2)
				r.res.OneWayCuts++
			}
			r.Log("cut %s, way %d", p.name, way)
			r.res.Cuts++
			for j := range r.c.all {
				if j != i && way != 2 {
					r.c.lines[[2]int{i, j}].Cut()
				}
				if j != i && way != 1 {
					r.c.lines[[2]int{j, i}].Cut()
				}
			}
			if !pause(500, 2500) {
				return ctx.Err()
			}
			for pair, l := range r.c.lines {
				if pair[0] == i || pair[1] == i {
					l.Mend()
				}
			}
		case 4: // all die at once, and come back together
			r.Log("kill all, power %t", power)
			r.res.FullRestarts++
			for _, p := range r.c.all { // first all at once, then each for good
				p.mu.Lock()
				p.down = true
				_ = p.cmd.Process.Kill()
				p.mu.Unlock()
			}
			for _, p := range r.c.all {
				if err := p.kill(power); err != nil {
					return err
				}
			}
			for _, p := range r.c.all {
				if err := r.c.start(p); err != nil {
					return err
				}
			}
		}
		if !pause(700, 1800) {
			return ctx.Err()
		}
	}
	return nil
}

// work is one client: it reads, writes and changes registers, and with each write leaves a key of its own.
func (r *run) work(ctx context.Context, w int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(100+w)))
	cl, err := r.c.client(w, false, 700*time.Millisecond)
	if err != nil {
		return
	}
	defer cl.Close()
	last := map[string]string{}
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("register/%d/%d", time.Since(r.began)/epoch, rng.IntN(registers))
		in, mine := call{kind: 'r'}, ""
		value := fmt.Sprintf("%d.%d", w, n)
		switch rng.IntN(5) {
		case 0, 1:
			in = call{kind: 'w', New: value}
		case 2:
			in = call{kind: 'c', Old: last[key], New: value}
		}
		one, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		began := time.Since(r.began)
		out, err := reply{}, error(nil)
		if in.kind == 'r' {
			var kv machine.KV
			if kv, _, _, err = cl.Get(one, namespace, key, false); err == nil {
				out = reply{Value: string(kv.Value), Known: true}
				last[key] = out.Value
			}
		} else {
			mine = fmt.Sprintf("own/%d/%d", w, n)
			cmd := machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{
				{Kind: machine.Put, NS: namespace, Key: key, Value: []byte(value)}, {Kind: machine.Put, NS: namespace, Key: mine, Value: []byte(value)}}}
			if in.kind == 'c' {
				cmd.If = []machine.Compare{{NS: namespace, Key: key, Target: machine.Value, Value: []byte(in.Old)}}
				if in.Old == "" {
					cmd.If = []machine.Compare{{NS: namespace, Key: key, Target: machine.Version}}
				}
			}
			var res machine.Result
			if res, err = cl.Transact(one, cmd); err == nil {
				out = reply{Done: res.Holds, Known: true}
			}
		}
		cancel()
		r.record(w, key, mine, in, out, began, time.Since(r.began), err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(1+rng.IntN(4)) * time.Millisecond):
		}
	}
}

func (r *run) record(w int, key, mine string, in call, out reply, began, ended time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Operations++
	if err != nil {
		r.res.Unknown++
		if in.kind == 'r' {
			return
		}
		ended = 1 << 60 // it may be done at any time from its beginning on
	} else {
		now := time.Now()
		r.gap = max(r.gap, now.Sub(r.latest))
		r.latest = now
		if in.kind != 'r' {
			r.res.Acknowledged++
			if out.Done {
				r.acked[mine] = w
			}
		}
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: w, Input: input{key, in}, Call: int64(began), Output: out, Return: int64(ended)})
}

type input struct {
	key string
	call
}

// register is what porcupine holds the history against: each key by itself is one register.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var keys []string
		for _, op := range history {
			k := op.Input.(input).key
			if by[k] == nil {
				keys = append(keys, k)
			}
			by[k] = append(by[k], op)
		}
		var parts [][]porcupine.Operation
		for _, k := range keys {
			parts = append(parts, by[k])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		value, c, o := state.(string), in.(input).call, out.(reply)
		switch c.kind {
		case 'r':
			return o.Value == value, value
		case 'w':
			return true, c.New
		}
		if value != c.Old {
			return !o.Known || !o.Done, value
		}
		return !o.Known || o.Done, c.New
	},
	Equal: func(a, b any) bool { return a == b },
}

// judge waits until all instances stand alike, and looks for every acknowledged write at each.
func (r *run) judge(ctx context.Context) {
	r.res.LongestUnavailable = r.gap.Milliseconds()
	r.res.Linearizable = porcupine.CheckOperationsTimeout(register, r.ops, time.Minute) == porcupine.Ok
	if !r.res.Linearizable {
		r.faulty("the history of the registers has no order that explains it")
	}
	type end struct {
		index uint64
		chain uint64
		keys  map[string]machine.KV
	}
	var ends []end
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) && ctx.Err() == nil {
		ends = nil
		for i := range r.c.all {
			if e, err := r.look(ctx, i); err == nil {
				ends = append(ends, end{e.index, e.chain, e.keys})
			} else {
				r.Log("look at n%d: %v", i, err)
			}
		}
		alike := len(ends) == len(r.c.all)
		for _, e := range ends {
			alike = alike && e.index == ends[0].index
		}
		if alike {
			r.res.Converged = true
			break
		}
		if r.ended() > 0 { // it will not come back by itself
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !r.res.Converged {
		r.faulty("the instances do not come to one state: %d of %d answer", len(ends), len(r.c.all))
	}
	lost := map[string]bool{}
	for i, e := range ends {
		if e.index == ends[0].index && e.chain != ends[0].chain {
			r.res.Contradictions++
			r.faulty("n%d has another history than n0", i)
		}
		for key := range r.acked {
			kv, found := e.keys[key]
			if !found {
				lost[key] = true
				r.faulty("n%d lacks %s, which was acknowledged", i, key)
			} else if kv.Version != 1 {
				r.res.Contradictions++
				r.faulty("n%d has %s %d times", i, key, kv.Version)
			}
		}
	}
	r.res.Lost = len(lost)
}

type looked struct {
	index, chain uint64
	keys         map[string]machine.KV
}

// look reads the whole of an instance's state; nothing else writes by then but the store itself.
func (r *run) look(ctx context.Context, i int) (*looked, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	cl, err := r.c.client(i, true, 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	found := &looked{keys: map[string]machine.KV{}}
	kvs, _, err := cl.List(ctx, namespace, "own/", -1, false)
	if err != nil {
		return nil, err
	}
	for _, kv := range kvs {
		found.keys[kv.Key] = kv
	}
	st, err := status(ctx, cl)
	if err != nil {
		return nil, err
	}
	found.index, found.chain = st.Applied, st.Chain
	return found, nil
}

func status(ctx context.Context, cl *client.Client) (*core.Status, error) {
	a, err := cl.Call(ctx, &frame.Request{Op: frame.OpStatus}, true)
	if err != nil {
		return nil, err
	}
	st := &core.Status{}
	return st, decode(a.Body, st)
}

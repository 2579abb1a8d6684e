package storesim

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sort"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// seeded is a reader of random bytes that a seed decides.
type seeded struct{ *rand.Rand }

func (s seeded) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(s.Uint32())
	}
	return len(b), nil
}

// Seeded returns random bytes by a seed.
func Seeded(seed uint64) io.Reader { return seeded{rand.New(rand.NewPCG(seed, 99))} }

// faults arranges what goes wrong next, and again.
func (w *world) faults() {
	w.after(int64(200+w.rng.IntN(1500))*ms, func() {
		if w.calm {
			return
		}
		w.fault()
		w.faults()
	})
}

func (w *world) fault() {
	i := w.rng.IntN(len(w.places))
	p := w.places[i]
	back := int64(100+w.rng.IntN(4000)) * ms
	switch k := w.rng.IntN(14); k {
	case 0, 1: // a process dies; the kernel keeps what it wrote
		w.downFor(i, false, back)
	case 2, 3: // the machine dies
		w.downFor(i, true, back)
	case 4: // all die together
		for j := range w.places {
			w.downFor(j, w.rng.IntN(2) == 0, back+int64(w.rng.IntN(500))*ms)
		}
	case 5, 6: // one is cut off, or hears and is not heard, or the other way round
		way := w.rng.IntN(3)
		for j := range w.places {
			if j != i {
				w.cut[[2]int{i, j}] = way != 1
				w.cut[[2]int{j, i}] = way != 2
			}
		}
		w.say("%s cut off, way %d", p.name, way)
		w.after(back, func() {
			for j := range w.places {
				delete(w.cut, [2]int{i, j})
				delete(w.cut, [2]int{j, i})
			}
		})
	case 7: // one clock runs fast or slow
		p.speed = []int64{30, 60, 200, 400}[w.rng.IntN(4)] * ms
		w.after(back, func() { p.speed = 100 * ms })
	case 8: // a disk is full for a while
		p.disk.full = true
		w.say("%s has a full disk", p.name)
		w.after(back, func() { p.disk.full = false; w.drive(p) })
	case 9: // a sync fails: the instance may not go on
		p.disk.failSync = true
		w.after(back, func() { p.disk.failSync = false })
	case 10: // a bit flips while the machine is down; one disk at a time, or there is no majority to learn from
		for _, q := range w.places {
			if !q.joined || q.flipBy > 0 {
				return
			}
		}
		if p.core != nil {
			w.downFor(i, false, back)
			p.flipBy = 1
		}
	case 12, 13: // the machine dies in the middle of a write, a rename, a removal, a snapshot or a start
		p.disk.dieIn = 1 + w.rng.IntN(12)
	case 11:
		if p.core != nil && !p.stuck {
			p.core.TransferLeadership()
			w.drive(p)
		}
	}
}

func (w *world) downFor(i int, power bool, back int64) {
	p := w.places[i]
	if p.core == nil {
		return
	}
	w.down(p, power)
	w.after(back, func() {
		if p.core == nil {
			w.start(i)
		}
	})
}

// down ends the process at a place. One that died of its disk is started again by its supervisor.
func (w *world) down(p *instance, power bool) {
	w.say("%s down, power lost: %t", p.name, power)
	w.res.Crashes++
	p.core, p.store, p.stalled, p.stuck = nil, nil, nil, false
	p.life++
	if power {
		p.disk.crash()
	}
	if p.disk.failSync {
		i, life := w.place(p.id), p.life
		w.after(5000*ms, func() {
			if p.core == nil && p.life == life {
				w.start(i)
			}
		})
	}
}

// flip spoils a bit of a log or snapshot that is surely on the disk.
func (p *instance) flip() {
	names, _ := p.disk.List()
	var logs []string
	for _, n := range names {
		if n[:4] == "log-" {
			logs = append(logs, n)
		}
	}
	if len(logs) < 2 { // the end of the last one cannot be told from a torn write for sure
		p.flipBy = 0
		return
	}
	n := logs[p.w.rng.IntN(len(logs)-1)]
	f := p.disk.names[n]
	if p.disk.flip(n, len(f.data)) {
		p.w.say("%s: a bit of %s flips", p.name, n)
	}
}

// replace gives a place an empty disk and a new id, and has it join.
func (w *world) replace(p *instance) {
	w.res.Replaced++
	w.nextID++
	p.flipBy, p.joined = 0, false
	p.disk = newDisk(w.rng)
	id := w.nextID
	if err := disk.Create(p.disk, disk.Identity{Cluster: 7, Node: id, Name: p.name}, 0, nil, w.logOptions()); err != nil {
		w.violated("%s cannot begin anew: %v", p.name, err)
		return
	}
	p.disk.lies = w.LoseSyncs
	p.id = id
	i := w.place(id)
	w.admit(p)
	w.start(i)
}

// admit asks an instance to take this one in, until it is done.
func (w *world) admit(p *instance) {
	if p.joined {
		return
	}
	asked := false
	for _, q := range w.places {
		if q.core != nil && q.id != p.id && !q.stuck {
			if slices.Contains(q.core.Status().Voters, p.id) { // a learner does not count: the others must hold until then
				p.joined = true
				return
			}
			if _, in := core.Members(q.core.Machine())[p.id]; in || asked {
				continue
			}
			asked = true
			change, cmd, err := core.PlanJoin(q.core.Machine(), p.id, core.Member{Name: p.name, Format: machine.Format}, "")
			if err != nil {
				w.violated("admit: %v", err)
				return
			}
			q.core.ProposeMembershipChange(0, change, cmd)
			w.drive(q)
		}
	}
	w.after(1500*ms, func() { w.admit(p) })
}

// heal ends all faults.
func (w *world) heal() {
	w.calm = true
	w.cut = map[[2]int]bool{}
	w.say("healed")
	for i, p := range w.places {
		p.disk.full, p.disk.failSync, p.disk.dieIn, p.speed = false, false, 0, 100*ms
		if p.core == nil {
			w.start(i)
		} else {
			w.drive(p)
		}
	}
}

// caller is a client: it opens a session, writes keys of its own and shared ones, and retries at other instances
// what was not answered, under the same number.
type caller struct {
	w       *world
	n       int
	session uint64
	seq     uint64
}

func (c *caller) call(cmd machine.Command, done func(core.Answer)) {
	w := c.w
	p := w.places[w.rng.IntN(len(w.places))]
	w.token++
	token, answered := w.token, false
	finish := func(a core.Answer) {
		if !answered {
			answered = true
			delete(w.waits, token)
			done(a)
		}
	}
	w.after(4000*ms, func() { finish(core.Answer{Err: core.ErrOutcomeUnknown}) })
	if p.core == nil {
		w.after(50*ms, func() { finish(core.Answer{Err: core.ErrNoLeader}) })
		return
	}
	w.waits[token] = finish
	p.core.Propose(token, &cmd)
	if !p.stuck {
		w.drive(p)
	}
}

func (c *caller) next() {
	if c.w.calm {
		return
	}
	if c.session == 0 {
		c.call(machine.Command{Kind: machine.OpenSessionKind}, func(a core.Answer) {
			if a.Err == nil && a.Result.Code == machine.OK {
				c.session, c.seq = a.Result.ID, 0
			}
			c.w.after(20*ms, c.next)
		})
		return
	}
	c.seq++
	key := fmt.Sprintf("%d/%d/%d", c.n, c.session, c.seq)
	cmd := machine.Command{Kind: machine.TransactionKind, Session: c.session, Seq: c.seq, Then: []machine.Op{
		{Kind: machine.Put, NS: "data", Key: key, Value: []byte(key)},
		{Kind: machine.Put, NS: "data", Key: fmt.Sprint("shared", c.w.rng.IntN(8)), Value: make([]byte, 100)}}}
	c.try(key, cmd, 0)
}

func (c *caller) try(key string, cmd machine.Command, tries int) {
	if c.w.Twice && tries > 0 {
		cmd.Session = 0
	}
	c.call(cmd, func(a core.Answer) {
		w := c.w
		switch {
		case a.Err == nil && a.Result.Code == machine.OK:
			w.acked[key]++
			w.res.Acknowledged++
			w.after(int64(5+w.rng.IntN(40))*ms, c.next)
		case a.Err == nil && a.Result.Code == machine.NoSession:
			c.session = 0
			w.after(10*ms, c.next)
		case errors.Is(a.Err, core.ErrHalted):
			w.violated("halted: %v", a.Err)
		default:
			w.after(int64(50+w.rng.IntN(100))*ms, func() {
				if !w.calm {
					c.try(key, cmd, tries+1)
				}
			})
		}
	})
}

// Package learned decides which of the things that a gateway has learned are worth writing to the store, and how much
// of what is there a fresh gateway may believe. It does no I/O and reads no clock: it is told what the router knows and
// what the store holds, and answers with transactions and beliefs. Times are microseconds on the gateways' clocks,
// which agree to within Skew.
package warmstart

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"cloverrock/balance"
	"cloverrock/internal/store/machine"
)

// NS is the namespace of what was learned.
const NS = "learned"

const (
	// Skew is how far the clocks of two gateways may be apart. Evidence that is younger by less is not younger.
	Skew = 50_000
	// ahead is how far a stored time may lie in the future before it is taken for a fault.
	ahead = 5_000_000

	positionEvery = 2_000_000  // a stored lower bound that is behind by less is good enough
	refreshEvery  = 10_000_000 // what goes on being true is said again after this
	limitChange   = 0.25       // a limit that moved by a smaller part is not written
	maxOps        = 64         // of one transaction
	maxHosts      = 4096       // that are kept
)

// Config of a keeper.
type Config struct {
	Name    string
	Every   int64 // least time between two transactions
	Believe int64 // age up to which what may change is believed
}

// Primary is the stored word on a group's primary. The term rises with each change.
type Primary struct {
	Host string `msgpack:"h" json:"host"`
	Term int64  `msgpack:"t" json:"term"`
	At   int64  `msgpack:"a" json:"at"`
	By   string `msgpack:"b" json:"by"`
}

// Host is the stored word on a host.
type Host struct {
	Group      int64   `msgpack:"g" json:"group"`
	Position   int64   `msgpack:"p" json:"position"`
	PositionAt int64   `msgpack:"q" json:"position_at"`
	Primary    bool    `msgpack:"r" json:"primary"` // when the position was heard
	Down       bool    `msgpack:"d" json:"down"`
	ColdUntil  int64   `msgpack:"c" json:"cold_until"`
	Limit      float64 `msgpack:"l" json:"limit"`
	At         int64   `msgpack:"a" json:"at"`
	By         string  `msgpack:"b" json:"by"`
}

// StoredEndpoint is an endpoint under the field names of its stored form, which stay as they are whatever the fields of
// balance are called. The two types convert into one another.
type StoredEndpoint struct {
	Host      string                `msgpack:"Host"`
	Zone      int                   `msgpack:"Zone"`
	Group     int64                 `msgpack:"Group"`
	Kind      int                   `msgpack:"Kind"`
	State     balance.EndpointState `msgpack:"Phase"`
	Primary   bool                  `msgpack:"Primary"`
	Weight    float64               `msgpack:"Weight"`
	StartedAt int64                 `msgpack:"Born"`
}

// Entry is a host of the list.
type Entry struct {
	StoredEndpoint `msgpack:"e"`
	Address        string `msgpack:"a"`
}

// List is the stored list of hosts.
type List struct {
	Generation int64   `msgpack:"g"`
	Entries    []Entry `msgpack:"e"`
}

// Floor is the stored floor of session positions.
type Floor struct {
	Position int64 `msgpack:"p" json:"position"`
}

const (
	listKey  = "list"
	floorKey = "floor"
)

func groupKey(id int64) string { return fmt.Sprintf("group/%020d", id) }
func hostKey(id string) string { return "host/" + id }

// Keeper holds what the store says and decides what to add.
type Keeper struct {
	conf      Config
	groups    map[int64]Primary
	revisions map[int64]int64 // by group: the revision that the word above stood at
	hosts     map[string]Host
	list      List
	floor     int64
	wroteAt   int64
	unread    int // keys that could not be read: of a newer form, or spoilt
}

// New returns a keeper that knows nothing of the store yet.
func New(conf Config) *Keeper {
	return &Keeper{conf: conf, groups: map[int64]Primary{}, revisions: map[int64]int64{}, hosts: map[string]Host{}}
}

// Unread is the number of keys that could not be read. They are left as they are.
func (k *Keeper) Unread() int { return k.unread }

// Stored takes a key as the store has it.
func (k *Keeper) Stored(kv *machine.KV, deleted bool) {
	var err error
	switch {
	case kv.NS != NS:
		return
	case kv.Key == listKey:
		l := List{}
		if err = msgpack.Unmarshal(kv.Value, &l); err == nil && !deleted {
			k.list = l
		}
	case kv.Key == floorKey:
		f := Floor{}
		if err = msgpack.Unmarshal(kv.Value, &f); err == nil {
			k.floor = max(k.floor, f.Position)
		}
	case strings.HasPrefix(kv.Key, "group/"):
		var id int64
		if _, err = fmt.Sscanf(kv.Key, "group/%d", &id); err != nil {
			break
		}
		if deleted {
			delete(k.groups, id)
			delete(k.revisions, id)
			return
		}
		p := Primary{}
		if err = msgpack.Unmarshal(kv.Value, &p); err == nil {
			k.groups[id], k.revisions[id] = p, kv.Modified
		}
	case strings.HasPrefix(kv.Key, "host/"):
		id := strings.TrimPrefix(kv.Key, "host/")
		if deleted {
			delete(k.hosts, id)
			return
		}
		h := Host{}
		if err = msgpack.Unmarshal(kv.Value, &h); err == nil {
			k.hosts[id] = h
		}
	}
	if err != nil {
		k.unread++
	}
}

// Plan is told what the router knows and which list it has, and returns the transactions that are worth their write:
// at most one on primaries, which takes effect only if nobody was faster, and one on the rest.
func (k *Keeper) Plan(now int64, f balance.Snapshot, l List) []machine.Command {
	if now-k.wroteAt < k.conf.Every {
		return nil
	}
	var cmds []machine.Command
	if c := k.primaries(now, f); c != nil {
		cmds = append(cmds, *c)
	}
	if c := k.rest(now, f, l); c != nil {
		cmds = append(cmds, *c)
	}
	if len(cmds) > 0 {
		k.wroteAt = now
	}
	return cmds
}

// primaries writes who is primary where this router has younger evidence than the store.
func (k *Keeper) primaries(now int64, f balance.Snapshot) *machine.Command {
	c := &machine.Command{Kind: machine.TransactionKind}
	for _, g := range f.Groups {
		was, known := k.groups[g.Group]
		next := Primary{Host: g.Primary, Term: was.Term, At: min(g.ObservedAt, now), By: k.conf.Name}
		switch {
		case !known:
			next.Term = 1
		case was.Host != g.Primary && g.ObservedAt > was.At+Skew:
			next.Term++
		case was.Host == g.Primary && now-was.At > refreshEvery:
			next.At = now // it has answered as primary up to now, or the router would not be sure
		default:
			continue
		}
		b, err := msgpack.Marshal(&next)
		if err != nil || len(c.Then) >= maxOps {
			continue
		}
		c.If = append(c.If, machine.Compare{NS: NS, Key: groupKey(g.Group), Target: machine.Modified, Number: k.revisions[g.Group]})
		c.Then = append(c.Then, machine.Op{Kind: machine.Put, NS: NS, Key: groupKey(g.Group), Value: b})
	}
	if len(c.Then) == 0 {
		return nil
	}
	return c
}

// change is one host's new word, with how much it matters.
type change struct {
	id    string
	host  Host
	grave bool
}

// rest writes hosts, the list and the floor. Two gateways that write the same host at once do no harm: a position is
// a lower bound in either case, and the rest is said again when it changes.
func (k *Keeper) rest(now int64, f balance.Snapshot, l List) *machine.Command {
	c := &machine.Command{Kind: machine.TransactionKind}
	put := func(key string, v any) {
		if b, err := msgpack.Marshal(v); err == nil {
			c.Then = append(c.Then, machine.Op{Kind: machine.Put, NS: NS, Key: key, Value: b})
		}
	}
	if l.Generation > k.list.Generation && len(l.Entries) > 0 && len(l.Entries) <= maxHosts {
		put(listKey, &l)
	}
	if f.SessionFloor > k.floor+positionEvery {
		put(floorKey, &Floor{f.SessionFloor})
	}
	var changes []change
	here := map[string]bool{}
	for _, h := range f.Hosts {
		here[h.Host] = true
		if next, grave, worth := k.worth(now, &h); worth {
			changes = append(changes, change{h.Host, next, grave})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		if a.grave != b.grave {
			if a.grave {
				return -1
			}
			return 1
		}
		return 0
	})
	for _, ch := range changes {
		if len(c.Then) < maxOps {
			put(hostKey(ch.id), &ch.host)
		}
	}
	// A host that no list has named for long is forgotten by whoever wrote of it last.
	ids := make([]string, 0, len(k.hosts))
	for id, h := range k.hosts {
		if !here[id] && h.By == k.conf.Name && now-h.At > k.conf.Believe {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if len(c.Then) < maxOps {
			c.Then = append(c.Then, machine.Op{Kind: machine.Delete, NS: NS, Key: hostKey(id)})
		}
	}
	if len(c.Then) == 0 {
		return nil
	}
	return c
}

// worth tells whether a host's word is worth a write, and whether it is grave: a change of what it may be sent.
func (k *Keeper) worth(now int64, f *balance.HostSnapshot) (next Host, grave, worth bool) {
	was, known := k.hosts[f.Host]
	next = Host{f.Group, f.Position, f.PositionAt, f.Primary, f.Down, f.SlowStartUntil, f.ConcurrencyLimit, now, k.conf.Name}
	if f.Position < was.Position && f.Primary == was.Primary {
		next.Position, next.PositionAt = was.Position, was.PositionAt // a position never goes back
	}
	if f.Position == 0 && !f.Down && f.SlowStartUntil == 0 && f.ConcurrencyLimit == 0 {
		return next, false, false // nothing was learned of it yet
	}
	grave = f.Down != was.Down || f.Primary != was.Primary || (f.SlowStartUntil > now) != (was.ColdUntil > now)
	if was.At > now-Skew && was.By != k.conf.Name {
		return next, grave, false // another gateway has just spoken of it
	}
	moved := was.Limit > 0 && f.ConcurrencyLimit > 0 && (f.ConcurrencyLimit > was.Limit*(1+limitChange) || f.ConcurrencyLimit < was.Limit*(1-limitChange))
	worth = !known || grave || next.Position-was.Position > positionEvery ||
		now-was.At > refreshEvery || moved && now-was.At > positionEvery
	return next, grave, worth
}

// Belief is what a fresh gateway may take from the store.
type Belief struct {
	Facts balance.Snapshot
	List  *List // nil: none, or no younger than the one given
	Doubt []string
}

// Start tells what may be believed. The generation is that of the list that the gateway holds already.
//
// A position is a lower bound and stays true, but one that was heard from a primary which is none any more may lie
// ahead of what the others ever had: it is believed only while the host is the stored primary. Who is down, cold or
// primary, and how much a host may be given, is believed up to an age. A time from the future is no evidence.
func (k *Keeper) Start(now, generation int64) Belief {
	b := Belief{Facts: balance.Snapshot{SessionFloor: k.floor}}
	if k.list.Generation > generation {
		l := k.list
		b.List = &l
	}
	young := func(at int64) bool { return at <= now+ahead && now-at <= k.conf.Believe }
	for _, id := range slices.Sorted(maps.Keys(k.groups)) {
		p := k.groups[id]
		if young(p.At) {
			b.Facts.Groups = append(b.Facts.Groups, balance.GroupSnapshot{Group: id, Primary: p.Host, ObservedAt: min(p.At, now)})
		} else {
			b.Doubt = append(b.Doubt, fmt.Sprintf("group %d: primary %s is %d s old", id, p.Host, (now-p.At)/1e6))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.hosts)) {
		h := k.hosts[id]
		f := balance.HostSnapshot{Host: id, Group: h.Group, Position: h.Position, PositionAt: min(h.PositionAt, now)}
		if h.Position > now+ahead || h.Primary && k.groups[h.Group].Host != id {
			f.Position, f.PositionAt = 0, 0
			b.Doubt = append(b.Doubt, fmt.Sprintf("host %s: its position is from a primary that is none any more, or from the future", id))
		}
		if young(h.At) {
			f.Down, f.ConcurrencyLimit = h.Down, h.Limit
		}
		if h.ColdUntil > now && h.ColdUntil < now+3600e6 {
			f.SlowStartUntil = h.ColdUntil
		}
		b.Facts.Hosts = append(b.Facts.Hosts, f)
	}
	return b
}

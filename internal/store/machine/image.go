package machine

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/tidwall/btree"
	"github.com/vmihailenco/msgpack/v5"
)

// Image is the state at one index, frozen: the machine goes on while it is written out. Taking one copies no
// keys; they are shared until either side changes.
type Image struct {
	head     imageHead
	keys     *btree.Map[string, *KV]
	leases   []imageLease
	sessions []imageSession
	events   []Event
}

type imageHead struct {
	Form     uint8  `msgpack:"form"`
	Level    uint8  `msgpack:"level"`
	Index    uint64 `msgpack:"index"`
	Revision int64  `msgpack:"revision"`
	Clock    int64  `msgpack:"clock"`
	Chain    uint64 `msgpack:"chain"`
	Floor    int64  `msgpack:"floor"`
	Keys     int    `msgpack:"keys"`
	Leases   int    `msgpack:"leases"`
	Sessions int    `msgpack:"sessions"`
	Events   int    `msgpack:"events"`
}

type imageLease struct {
	ID  uint64 `msgpack:"i"`
	TTL int64  `msgpack:"t"`
	End int64  `msgpack:"e"`
}

type imageSession struct {
	ID     uint64 `msgpack:"i"`
	Seq    uint64 `msgpack:"s"`
	Used   uint64 `msgpack:"u"`
	Result Result `msgpack:"r"`
}

// Image freezes the state.
func (m *Machine) Image() *Image {
	i := &Image{keys: m.keys.Copy(), events: m.events[:len(m.events):len(m.events)]}
	for _, l := range m.leases {
		i.leases = append(i.leases, imageLease{l.id, l.ttl, l.end})
	}
	slices.SortFunc(i.leases, func(a, b imageLease) int { return cmp.Compare(a.ID, b.ID) })
	for e := m.recent.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		i.sessions = append(i.sessions, imageSession{s.id, s.seq, s.used, s.result})
	}
	i.head = imageHead{Format, m.level, m.index, m.revision, m.clock, m.chain, m.floor,
		i.keys.Len(), len(i.leases), len(i.sessions), len(i.events)}
	return i
}

// Index is that of the last command in the image.
func (i *Image) Index() uint64 { return i.head.Index }

// Write writes the image out. The same state gives the same bytes.
func (i *Image) Write(w io.Writer) error {
	enc := msgpack.NewEncoder(w)
	if err := enc.Encode(&i.head); err != nil {
		return fmt.Errorf("store: write image: %w", err)
	}
	var err error
	put := func(v any) bool { err = enc.Encode(v); return err == nil }
	i.keys.Scan(func(_ string, kv *KV) bool { return put(kv) })
	for n := 0; n < len(i.leases) && err == nil; n++ {
		put(&i.leases[n])
	}
	for n := 0; n < len(i.sessions) && err == nil; n++ {
		put(&i.sessions[n])
	}
	for n := 0; n < len(i.events) && err == nil; n++ {
		put(&i.events[n])
	}
	if err != nil {
		return fmt.Errorf("store: write image: %w", err)
	}
	return nil
}

// Restore reads an image into a new machine.
func Restore(r io.Reader) (*Machine, error) {
	m := New()
	dec := msgpack.NewDecoder(r)
	var h imageHead
	if err := dec.Decode(&h); err != nil {
		return nil, fmt.Errorf("store: read image: %w", err)
	}
	if h.Form > Format || h.Level > Format {
		return nil, fmt.Errorf("%w: an image of form %d, level %d (this build: %d)", ErrUnknown, h.Form, h.Level, Format)
	}
	if h.Form == 0 || min(h.Keys, h.Leases, h.Sessions, h.Events) < 0 {
		return nil, errors.New("store: read image: the head is malformed")
	}
	m.level, m.index, m.revision, m.clock, m.chain, m.floor = h.Level, h.Index, h.Revision, h.Clock, h.Chain, h.Floor
	leased := map[uint64][]string{}
	for range h.Keys {
		kv := &KV{}
		if err := dec.Decode(kv); err != nil {
			return nil, fmt.Errorf("store: read image: key: %w", err)
		}
		p := path(kv.NS, kv.Key)
		m.keys.Set(p, kv)
		if kv.Lease != 0 {
			leased[kv.Lease] = append(leased[kv.Lease], p)
		}
	}
	for range h.Leases {
		var l imageLease
		if err := dec.Decode(&l); err != nil {
			return nil, fmt.Errorf("store: read image: lease: %w", err)
		}
		m.leases[l.ID] = &lease{id: l.ID, ttl: l.TTL, end: l.End, keys: map[string]struct{}{}}
		for _, p := range leased[l.ID] {
			m.leases[l.ID].keys[p] = struct{}{}
		}
	}
	for range h.Sessions {
		var s imageSession
		if err := dec.Decode(&s); err != nil {
			return nil, fmt.Errorf("store: read image: session: %w", err)
		}
		m.sessions[s.ID] = m.recent.PushBack(&session{s.ID, s.Seq, s.Result, s.Used})
	}
	for range h.Events {
		var ev Event
		if err := dec.Decode(&ev); err != nil {
			return nil, fmt.Errorf("store: read image: event: %w", err)
		}
		m.events = append(m.events, ev)
	}
	var extra byte
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, errors.New("store: read image: bytes behind its end")
	}
	return m, nil
}

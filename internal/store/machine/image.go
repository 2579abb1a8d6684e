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

// Image is an immutable view of the state at one index. Another goroutine may write it while the machine applies further
// commands. Keys are shared copy-on-write.
type Image struct {
	header   imageHeader
	keys     *btree.Map[string, *KV]
	leases   []imageLease
	sessions []imageSession
	events   []Event
}

// imageHeader is the first record of an encoded image.
type imageHeader struct {
	Version      uint8  `msgpack:"form"`  // version of the image's encoding
	AgreedFormat uint8  `msgpack:"level"` // the agreed format of commands
	Index        uint64 `msgpack:"index"`
	Revision     int64  `msgpack:"revision"`
	Clock        int64  `msgpack:"clock"`
	Chain        uint64 `msgpack:"chain"`
	CompactedTo  int64  `msgpack:"floor"` // events up to this revision were dropped
	Keys         int    `msgpack:"keys"`
	Leases       int    `msgpack:"leases"`
	Sessions     int    `msgpack:"sessions"`
	Events       int    `msgpack:"events"`
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

// Image returns an immutable view of the state.
func (m *Machine) Image() *Image {
	i := &Image{keys: m.keys.Copy(), events: slices.Clip(m.events)}
	for _, l := range m.leases {
		i.leases = append(i.leases, imageLease{l.id, l.ttl, l.end})
	}
	slices.SortFunc(i.leases, func(a, b imageLease) int { return cmp.Compare(a.ID, b.ID) })
	for e := m.sessionsByUse.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		i.sessions = append(i.sessions, imageSession{s.id, s.seq, s.used, s.result})
	}
	i.header = imageHeader{
		Version:      Format,
		AgreedFormat: m.agreedFormat,
		Index:        m.index,
		Revision:     m.revision,
		Clock:        m.clock,
		Chain:        m.chain,
		CompactedTo:  m.compactedTo,
		Keys:         i.keys.Len(),
		Leases:       len(i.leases),
		Sessions:     len(i.sessions),
		Events:       len(i.events),
	}
	return i
}

// Index returns the index of the last command in the image.
func (i *Image) Index() uint64 { return i.header.Index }

// Write encodes the image. The same state gives the same bytes at every instance.
func (i *Image) Write(w io.Writer) error {
	if err := i.write(msgpack.NewEncoder(w)); err != nil {
		return fmt.Errorf("store: write image: %w", err)
	}
	return nil
}

func (i *Image) write(encoder *msgpack.Encoder) error {
	if err := encoder.Encode(&i.header); err != nil {
		return err
	}
	var err error
	i.keys.Scan(func(_ string, kv *KV) bool {
		err = encoder.Encode(kv)
		return err == nil
	})
	if err != nil {
		return err
	}
	if err := encodeAll(encoder, i.leases); err != nil {
		return err
	}
	if err := encodeAll(encoder, i.sessions); err != nil {
		return err
	}
	return encodeAll(encoder, i.events)
}

func encodeAll[T any](encoder *msgpack.Encoder, values []T) error {
	for i := range values {
		if err := encoder.Encode(&values[i]); err != nil {
			return err
		}
	}
	return nil
}

// Restore decodes an image into a new machine. The error wraps ErrUnknownRecord for an image of a newer build.
func Restore(r io.Reader) (*Machine, error) {
	decoder := msgpack.NewDecoder(r)
	var header imageHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, fmt.Errorf("store: read image: %w", err)
	}
	if err := header.check(); err != nil {
		return nil, err
	}
	m := New()
	m.agreedFormat = header.AgreedFormat
	m.index = header.Index
	m.revision = header.Revision
	m.clock = header.Clock
	m.chain = header.Chain
	m.compactedTo = header.CompactedTo
	leased, err := m.restoreKeys(decoder, header.Keys)
	if err != nil {
		return nil, err
	}
	restoreLease := func(stored *imageLease) {
		restored := newLease(stored.ID, stored.TTL, stored.End)
		for _, fullKey := range leased[stored.ID] {
			restored.keys[fullKey] = struct{}{}
		}
		m.leases[stored.ID] = restored
	}
	restoreSession := func(stored *imageSession) {
		m.addSession(&session{stored.ID, stored.Seq, stored.Result, stored.Used})
	}
	restoreEvent := func(stored *Event) { m.events = append(m.events, *stored) }
	if err := decodeAll(decoder, "lease", header.Leases, restoreLease); err != nil {
		return nil, err
	}
	if err := decodeAll(decoder, "session", header.Sessions, restoreSession); err != nil {
		return nil, err
	}
	if err := decodeAll(decoder, "event", header.Events, restoreEvent); err != nil {
		return nil, err
	}
	var extra byte
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, errors.New("store: read image: unexpected bytes after its end")
	}
	return m, nil
}

// check returns an error if the image is of a newer build or its header is malformed.
func (h *imageHeader) check() error {
	if h.Version > Format || h.AgreedFormat > Format {
		return fmt.Errorf("%w: image of version %d with agreed command format %d (both supported up to %d)", ErrUnknownRecord, h.Version, h.AgreedFormat, Format)
	}
	if h.Version == 0 || min(h.Keys, h.Leases, h.Sessions, h.Events) < 0 {
		return errors.New("store: read image: malformed header: the version is 0 or a count is negative")
	}
	return nil
}

// restoreKeys reads the keys, and returns the storage keys of those with a lease, by lease.
func (m *Machine) restoreKeys(decoder *msgpack.Decoder, count int) (leased map[uint64][]string, err error) {
	leased = map[uint64][]string{}
	err = decodeAll(decoder, "key", count, func(kv *KV) {
		fullKey := storageKey(kv.NS, kv.Key)
		m.keys.Set(fullKey, kv)
		if kv.Lease != 0 {
			leased[kv.Lease] = append(leased[kv.Lease], fullKey)
		}
	})
	return leased, err
}

// decodeAll decodes count values and passes each to add. kind names them in errors.
func decodeAll[T any](decoder *msgpack.Decoder, kind string, count int, add func(*T)) error {
	for range count {
		value := new(T)
		if err := decoder.Decode(value); err != nil {
			return fmt.Errorf("store: read image: %s: %w", kind, err)
		}
		add(value)
	}
	return nil
}

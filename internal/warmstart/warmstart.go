// Package warmstart keeps the routing state of the gateways in the store, so that a restarted gateway does not begin
// without any. It decides which changes of a router's state are written, and which part of the stored state a restarted
// gateway may use. It does no I/O and reads no clock. Times are in microseconds of the gateways' clocks, whose
// difference must not exceed MaxClockSkew.
package warmstart

import (
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"cloverrock/internal/store/machine"
)

// MaxClockSkew is the maximum difference between the clocks of two gateways, in microseconds. An observation replaces
// one by another gateway only if it is newer by more than this.
const MaxClockSkew = 50_000

// Config configures a cache. Times are in microseconds.
type Config struct {
	Name        string // name of the gateway
	MinInterval int64  // minimum time between two plans that write something
	MaxAge      int64  // maximum age of a record that may have become wrong
}

// Cache is a gateway's copy of the stored routing state, kept up to date by Update. It is not safe for concurrent use.
type Cache struct {
	conf         Config
	groups       map[int64]Primary
	revisions    map[int64]int64 // by group: the revision of the record in groups
	hosts        map[string]Host
	list         EndpointList
	sessionFloor int64
	plannedAt    int64 // time of the last plan that wrote something
	unreadable   int   // see Unreadable
}

// New returns an empty cache.
func New(conf Config) *Cache {
	return &Cache{
		conf:      conf,
		groups:    map[int64]Primary{},
		revisions: map[int64]int64{},
		hosts:     map[string]Host{},
	}
}

// Unreadable returns the number of updates that were ignored because their value is damaged or has a newer format.
func (c *Cache) Unreadable() int { return c.unreadable }

// Update applies a change of a stored key to the cache. kv holds the new value, or the last value if deleted is set.
func (c *Cache) Update(kv *machine.KV, deleted bool) {
	if kv.NS != NS {
		return
	}
	if err := c.update(kv, deleted); err != nil {
		c.unreadable++
	}
}

func (c *Cache) update(kv *machine.KV, deleted bool) error {
	switch {
	case kv.Key == listKey:
		return c.updateList(kv, deleted)
	case kv.Key == floorKey:
		floor := SessionFloor{}
		if err := msgpack.Unmarshal(kv.Value, &floor); err != nil {
			return err
		}
		c.sessionFloor = max(c.sessionFloor, floor.Position)
	case strings.HasPrefix(kv.Key, groupPrefix):
		return c.updateGroup(kv, deleted)
	case strings.HasPrefix(kv.Key, hostPrefix):
		return c.updateHost(kv, deleted)
	}
	return nil
}

func (c *Cache) updateList(kv *machine.KV, deleted bool) error {
	list := EndpointList{}
	if err := msgpack.Unmarshal(kv.Value, &list); err != nil {
		return err
	}
	if !deleted {
		c.list = list
	}
	return nil
}

func (c *Cache) updateGroup(kv *machine.KV, deleted bool) error {
	var id int64
	if _, err := fmt.Sscanf(kv.Key, groupPrefix+"%d", &id); err != nil {
		return err
	}
	if deleted {
		delete(c.groups, id)
		delete(c.revisions, id)
		return nil
	}
	primary := Primary{}
	if err := msgpack.Unmarshal(kv.Value, &primary); err != nil {
		return err
	}
	c.groups[id] = primary
	c.revisions[id] = kv.Modified
	return nil
}

func (c *Cache) updateHost(kv *machine.KV, deleted bool) error {
	id := strings.TrimPrefix(kv.Key, hostPrefix)
	if deleted {
		delete(c.hosts, id)
		return nil
	}
	host := Host{}
	if err := msgpack.Unmarshal(kv.Value, &host); err != nil {
		return err
	}
	c.hosts[id] = host
	return nil
}

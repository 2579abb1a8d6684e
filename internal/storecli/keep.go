package storecli

import (
	"context"
	"time"

	"cloverrock/balance"
	"cloverrock/internal/discovery"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/warmstart"
)

// believe gives the gateway what the local copy has, as far as its age allows, before it has seen much itself.
func (d *daemon) believe(n *node.Node) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	var kvs []machine.KV
	age, err := n.Read(ctx, true, func(m *machine.Machine) { kvs = m.List(warmstart.NS, "", 0) })
	if err != nil {
		d.log.Warn().Err(err).Msg("learned: the local copy cannot be read")
		return
	}
	for i := range kvs {
		d.keeper.Stored(&kvs[i], false)
	}
	_, held, ok := d.gateway.Snapshot()
	if !ok {
		return
	}
	b := d.keeper.Start(time.Now().UnixMicro(), held.Generation)
	d.log.Info().Int("groups", len(b.Facts.Groups)).Int("hosts", len(b.Facts.Hosts)).Bool("list", b.List != nil).Strs("doubt", b.Doubt).
		Int("unread", d.keeper.Unread()).Dur("copy_behind_ms", age).Msg("learned: what the store knows is believed")
	d.gateway.Restore(b.Facts, told(b.List))
}

// told is a stored list in the form in which discovery tells one.
func told(l *warmstart.List) *discovery.EndpointList {
	if l == nil {
		return nil
	}
	t := &discovery.EndpointList{Generation: l.Generation, Complete: true, Addresses: map[string]string{}}
	for _, e := range l.Entries {
		t.Endpoints = append(t.Endpoints, balance.Endpoint(e.StoredEndpoint))
		t.Addresses[e.Host] = e.Address
	}
	return t
}

// keep writes what the gateway learns. While the store cannot take it, nothing waits and nothing is queued: the next
// plan is made from what is true then.
func (d *daemon) keep(n *node.Node) {
	events := make(chan []machine.Event, 16)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		_ = n.Watch(d.ctx, warmstart.NS, "", 0, func(ev []machine.Event, _ int64, _ bool) error {
			select {
			case events <- ev:
				return nil
			case <-d.ctx.Done():
				return d.ctx.Err()
			}
		})
	}()
	tick := time.NewTicker(max(time.Duration(d.set.Learned.WriteMS)*time.Millisecond/2, 20*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-n.Ended():
			return
		case ev := <-events:
			for i := range ev {
				d.keeper.Stored(ev[i].KV, ev[i].Deleted)
			}
			continue
		case <-tick.C:
		}
		facts, list, ok := d.gateway.Snapshot()
		if !ok {
			return
		}
		for _, c := range d.keeper.Plan(time.Now().UnixMicro(), facts, kept(&list)) {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			_, err := n.Propose(ctx, &c)
			cancel()
			if err != nil {
				d.log.Debug().Err(err).Msg("learned: not written")
				break
			}
		}
	}
}

func kept(l *discovery.EndpointList) warmstart.List {
	k := warmstart.List{Generation: l.Generation}
	for _, e := range l.Endpoints {
		if e.State != balance.Removed {
			k.Entries = append(k.Entries, warmstart.Entry{StoredEndpoint: warmstart.StoredEndpoint(e), Address: l.Addresses[e.Host]})
		}
	}
	return k
}

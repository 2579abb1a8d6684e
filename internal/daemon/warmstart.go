package daemon

import (
	"context"
	"time"

	"cloverrock/balance"
	"cloverrock/internal/discovery"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/warmstart"
)

const (
	restoreTimeout = time.Second // for the read of the local copy
	writeTimeout   = time.Second // of one transaction
	minPlanPause   = 20 * time.Millisecond
	eventBacklog   = 16 // batches of events that wait for the keeper
)

// restoreGateway gives the gateway the state that the local copy has, as far as its age allows, before the gateway has
// seen much itself.
func (d *daemon) restoreGateway(n *node.Node) {
	ctx, cancel := context.WithTimeout(d.ctx, restoreTimeout)
	defer cancel()
	var kvs []machine.KV
	age, err := n.Read(ctx, true, func(m *machine.Machine) { kvs = m.List(warmstart.NS, "", 0) })
	if err != nil {
		d.log.Warn().Err(err).Msg("learned: reading the local copy failed")
		return
	}
	for i := range kvs {
		d.cache.Update(&kvs[i], false)
	}
	_, current, ok := d.gateway.Snapshot()
	if !ok {
		return
	}
	restored := d.cache.Restore(time.Now().UnixMicro(), current.Generation)
	d.log.Info().
		Int("groups", len(restored.Snapshot.Groups)).
		Int("hosts", len(restored.Snapshot.Hosts)).
		Bool("list", restored.List != nil).
		Strs("discarded", restored.Discarded).
		Int("unreadable", d.cache.Unreadable()).
		Dur("copy_behind_ms", age).
		Msg("learned: stored state restored")
	d.gateway.Restore(restored.Snapshot, endpointList(restored.List))
}

// endpointList is a stored list in the form that discovery has; nil for nil.
func endpointList(stored *warmstart.EndpointList) *discovery.EndpointList {
	if stored == nil {
		return nil
	}
	list := &discovery.EndpointList{Generation: stored.Generation, Complete: true, Addresses: map[string]string{}}
	for _, entry := range stored.Endpoints {
		list.Endpoints = append(list.Endpoints, balance.Endpoint(entry.StoredEndpoint))
		list.Addresses[entry.Host] = entry.Address
	}
	return list
}

// storedList is discovery's list in the form in which it is stored, without removed hosts.
func storedList(list *discovery.EndpointList) warmstart.EndpointList {
	stored := warmstart.EndpointList{Generation: list.Generation}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == balance.Removed {
			continue
		}
		stored.Endpoints = append(stored.Endpoints, warmstart.Endpoint{
			StoredEndpoint: warmstart.StoredEndpoint(endpoint),
			Address:        list.Addresses[endpoint.Host],
		})
	}
	return stored
}

// keepState writes what the gateway knows. While the store cannot take it, nothing waits and nothing is queued: the
// next plan is made from what is true then.
func (d *daemon) keepState(n *node.Node) {
	events := make(chan []machine.Event, eventBacklog)
	d.wg.Go(func() { d.watchState(n, events) })
	pause := time.Duration(d.set.WarmStart.WriteIntervalMS) * time.Millisecond / 2
	tick := time.NewTicker(max(pause, minPlanPause))
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-n.Ended():
			return
		case batch := <-events:
			for _, event := range batch {
				d.cache.Update(event.KV, event.Deleted)
			}
		case <-tick.C:
			facts, list, ok := d.gateway.Snapshot()
			if !ok {
				return
			}
			d.write(n, d.cache.Plan(time.Now().UnixMicro(), facts, storedList(&list)))
		}
	}
}

// watchState passes on what the store has of the gateways' state.
func (d *daemon) watchState(n *node.Node, events chan<- []machine.Event) {
	pass := func(batch []machine.Event, _ int64, _ bool) error {
		select {
		case events <- batch:
			return nil
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
	}
	_ = n.Watch(d.ctx, warmstart.NS, "", 0, pass) // it ends only with the daemon or the node
}

// write proposes transactions one after another, and drops the rest when one fails.
func (d *daemon) write(n *node.Node, commands []machine.Command) {
	for i := range commands {
		ctx, cancel := context.WithTimeout(d.ctx, writeTimeout)
		_, err := n.Propose(ctx, &commands[i])
		cancel()
		if err != nil {
			d.log.Debug().Err(err).Msg("learned: write failed")
			return
		}
	}
}

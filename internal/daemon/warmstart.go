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
	eventBacklog   = 16 // batches of events that are buffered for keepState
)

// restoreGateway restores the gateway from those parts of the locally stored routing state that are recent enough.
func (d *daemon) restoreGateway(n *node.Node) {
	ctx, cancel := context.WithTimeout(d.ctx, restoreTimeout)
	defer cancel()
	var kvs []machine.KV
	staleness, err := n.Read(ctx, true, func(m *machine.Machine) { kvs = m.List(warmstart.NS, "", 0) })
	if err != nil {
		d.log.Warn().Err(err).Msg("warmstart: reading the local copy failed")
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
		Dur("copy_behind_ms", staleness).
		Msg("warmstart: stored state restored")
	d.gateway.Restore(restored.Snapshot, endpointList(restored.List))
}

// endpointList converts a stored list to the type of package discovery. It returns nil for nil.
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

// storedList converts a list of package discovery to its stored form, which omits removed hosts.
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

// keepState periodically writes changes of the gateway's routing state to the store, until the daemon or the node ends.
// Failed writes are not queued: the next plan starts from the state at that time. Only this goroutine uses the cache.
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
			snapshot, list, ok := d.gateway.Snapshot()
			if !ok {
				return
			}
			d.write(n, d.cache.Plan(time.Now().UnixMicro(), snapshot, storedList(&list)))
		}
	}
}

// watchState passes the changes of the stored routing state to keepState.
func (d *daemon) watchState(n *node.Node, events chan<- []machine.Event) {
	pass := func(batch []machine.Event, _ int64, _ bool) error {
		select {
		case events <- batch:
			return nil
		case <-d.ctx.Done():
			return d.ctx.Err()
		}
	}
	_ = n.Watch(d.ctx, warmstart.NS, "", 0, pass) // ends only with the daemon or the node
}

// write proposes transactions one after another. After a failure it drops the remaining ones.
func (d *daemon) write(n *node.Node, commands []machine.Command) {
	for i := range commands {
		ctx, cancel := context.WithTimeout(d.ctx, writeTimeout)
		_, err := n.Propose(ctx, &commands[i])
		cancel()
		if err != nil {
			d.log.Debug().Err(err).Msg("warmstart: write failed")
			return
		}
	}
}

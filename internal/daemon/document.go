package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cloverrock/internal/app"
	"cloverrock/internal/config"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
)

const (
	statusTTL     = 15 * time.Second // what a crashed instance has reported is removed after this
	reportTimeout = 3 * time.Second  // of one attempt
	reportRetry   = time.Second
)

// readDocument returns the document's latest revision in a state; nil: there is none.
func readDocument(m *machine.Machine) *documents.Revision {
	revision, err := documents.At(m, documents.Gateway, 0)
	if err != nil {
		return nil
	}
	return revision
}

// OverlayConfig implements app.Component: it lays the local copy of the document over the configuration. A document
// that cannot be applied changes nothing.
func (d *daemon) OverlayConfig(conf *config.Config) *config.Config {
	var revision *documents.Revision
	if !d.readLocal(func(m *machine.Machine) { revision = readDocument(m) }) || revision == nil {
		return conf
	}
	overlaid, err := config.LoadWithOverlay(d.getenv, revision.Body)
	d.setStatus(revision, nil, err)
	if err != nil {
		d.log.Error().Err(err).Int64("revision", revision.Number).Msg("store: gateway document not applied")
		return conf
	}
	d.log.Info().Int64("revision", revision.Number).Msg("store: gateway document applied")
	return overlaid
}

// ReloadConfig implements app.Component: the configuration for a reload by signal, with the document laid over it.
func (d *daemon) ReloadConfig() (*config.Config, error) {
	if _, document := d.currentStatus(); document != nil {
		return config.LoadWithOverlay(d.getenv, document)
	}
	return config.Reload(d.getenv)
}

// setStatus notes what became of a revision, and has it reported. restart names the keys that need a restart.
func (d *daemon) setStatus(revision *documents.Revision, restart []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := d.status.Applied
	state := "applied"
	detail := ""
	switch {
	case err != nil:
		state = "failed"
		detail = err.Error()
	case len(restart) > 0:
		state = "restart"
		detail = fmt.Sprintf("these keys need a restart: %v", restart)
	default:
		applied = revision.Number
	}
	d.status = documents.Running{
		Instance:     d.set.Store.Name,
		Document:     documents.Gateway,
		Revision:     revision.Number,
		Applied:      applied,
		State:        state,
		Detail:       detail,
		ReportedAtMS: time.Now().UnixMilli(),
		Version:      app.Version(),
	}
	d.document = revision.Body
	select {
	case d.changed <- struct{}{}:
	default: // a report is due already
	}
}

func (d *daemon) currentStatus() (documents.Running, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status, d.document
}

// followDocument applies each new revision of the document until the daemon or the node ends.
func (d *daemon) followDocument(n *node.Node) {
	d.applyDocument(n)
	apply := func([]machine.Event, int64, bool) error {
		d.applyDocument(n)
		return nil
	}
	_ = n.Watch(d.ctx, documents.NS, "head/"+documents.Gateway, 0, apply) // it ends only with the daemon or the node
}

// applyDocument has the gateway go over to the latest revision, unless it has tried it before.
func (d *daemon) applyDocument(n *node.Node) {
	var revision *documents.Revision
	_, err := n.Read(d.ctx, true, func(m *machine.Machine) { revision = readDocument(m) })
	if err != nil || revision == nil {
		return
	}
	if status, _ := d.currentStatus(); status.Revision == revision.Number {
		return
	}
	conf, err := config.LoadWithOverlay(d.getenv, revision.Body)
	if restart, ok := d.gateway.Reload(conf, err); ok {
		d.setStatus(revision, restart, err)
	}
}

// statusReport is how far the store has what this instance reports.
type statusReport struct {
	lease    uint64 // 0: none
	reported documents.Running
}

// reportStatus reports under a lease what this instance runs, and tries again while the store cannot take it.
func (d *daemon) reportStatus(n *node.Node) {
	report := &statusReport{}
	for {
		status, _ := d.currentStatus()
		report.send(d.ctx, n, status)
		wait := statusTTL / 4
		if status != report.reported {
			wait = reportRetry
		}
		select {
		case <-d.ctx.Done():
			return
		case <-n.Ended():
			return
		case <-d.changed:
		case <-time.After(wait):
		}
	}
}

// send keeps the lease alive or gets one, and writes the status if the store does not have it. What fails is tried
// again with the next call.
func (r *statusReport) send(ctx context.Context, n *node.Node, status documents.Running) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if r.lease != 0 {
		result, err := n.Propose(ctx, &machine.Command{Kind: machine.KeepAliveKind, Lease: r.lease})
		if err == nil && result.Code == machine.NoLease {
			*r = statusReport{}
		}
	}
	if r.lease == 0 {
		result, err := n.Propose(ctx, &machine.Command{Kind: machine.GrantLeaseKind, Amount: statusTTL.Milliseconds()})
		if err == nil && result.Code == machine.OK {
			r.lease = result.ID
		}
	}
	if r.lease == 0 || status == r.reported || status.Document == "" {
		return
	}
	value, err := json.Marshal(&status)
	if err != nil {
		return // a Running can be encoded
	}
	key := documents.RunningKey(status.Instance, status.Document)
	put := machine.Op{Kind: machine.Put, NS: documents.StatusNS, Key: key, Value: value, Lease: r.lease}
	result, err := n.Propose(ctx, &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
	if err == nil && result.Code == machine.OK {
		r.reported = status
	}
}

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
	statusTTL     = 15 * time.Second // duration of the lease of a status report, which is deleted this long after a crash
	reportTimeout = 3 * time.Second  // for one attempt to write the report
	reportRetry   = time.Second

	keepAlivesPerTTL = 4 // how often the lease is extended within its duration
)

// readDocument returns the latest revision of the gateway document, or nil if there is none.
func readDocument(m *machine.Machine) *documents.Revision {
	revision, err := documents.ReadRevision(m, documents.Gateway, 0)
	if err != nil {
		return nil
	}
	return revision
}

// OverlayConfig implements app.Component. It returns the configuration with the values of the local copy of the gateway
// document. If there is no document or it cannot be applied, it returns conf.
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

// ReloadConfig implements app.Component. It returns the configuration for a reload by signal, which includes the values of
// the gateway document.
func (d *daemon) ReloadConfig() (*config.Config, error) {
	if _, document := d.currentStatus(); document != nil {
		return config.LoadWithOverlay(d.getenv, document)
	}
	return config.Reload(d.getenv)
}

// setStatus records the outcome of applying a revision and triggers a report. restart lists the keys whose changes take
// effect only after a restart.
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
	default: // a report is already due
	}
}

// currentStatus returns the status, and the body of the last revision that was evaluated.
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
	_ = n.Watch(d.ctx, documents.NS, "head/"+documents.Gateway, 0, apply) // ends only with the daemon or the node
}

// applyDocument reloads the gateway with the latest revision, unless that revision was already tried.
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

// statusReport holds what this instance has written to the store about its status.
type statusReport struct {
	lease    uint64            // 0: none
	reported documents.Running // as last written
}

// reportStatus writes this instance's status to the store under a lease, and keeps the lease alive until the daemon or the
// node ends. It writes after each change, and retries after failures.
func (d *daemon) reportStatus(n *node.Node) {
	report := &statusReport{}
	for {
		status, _ := d.currentStatus()
		report.send(d.ctx, n, status)
		wait := statusTTL / keepAlivesPerTTL
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

// send extends the lease or obtains a new one, and writes the status if it has changed. A failure is retried by the next
// call.
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
		return // cannot happen: a Running can always be encoded
	}
	key := documents.RunningKey(status.Instance, status.Document)
	put := machine.Op{Kind: machine.Put, NS: documents.StatusNS, Key: key, Value: value, Lease: r.lease}
	result, err := n.Propose(ctx, &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
	if err == nil && result.Code == machine.OK {
		r.reported = status
	}
}

package processrig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/loopback"
)

// rig holds the gateway processes and the emulated hosts, discovery services and relays of one run.
type rig struct {
	Options
	directory    string
	events       []Event
	result       *Result
	hosts        []*emulator.Host
	discoveries  []*emulator.Discovery // by gateway
	lists        endpointLists
	datagrams    *datagramRelay
	fleetRelay   *fleetRelay // nil in a run without zones
	isCut        cutFunc
	gateways     []*gatewayProcess
	stallMonitor *stallMonitor

	mu       sync.Mutex    // protects the fields below, Result.Killed and gatewayProcess.disturbed
	start    time.Time     // when the first requests may be sent
	logs     []hostLog     // by host
	endedCPU time.Duration // CPU time of the gateway processes that have ended
}

// cutFunc reports whether two gateways are cut off from each other at a time after the start of the run.
type cutFunc func(at time.Duration, from, to int) bool

// readyTimeout is how long all gateways together may take until they accept connections.
const readyTimeout = 30 * time.Second

// Run makes one run. It ends only the processes that it has started.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	if err := options.check(); err != nil {
		return nil, err
	}
	r := &rig{Options: options}
	if err := r.plan(); err != nil {
		return nil, err
	}
	var err error
	if r.directory, err = os.MkdirTemp("", "processrig-"); err != nil {
		return nil, err
	}
	defer r.removeDirectory()
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	return r.result, r.execute(ctx)
}

// plan determines the faults of the run and begins its result.
func (r *rig) plan() error {
	var err error
	if r.Zoned != nil {
		err = r.planZones()
	} else {
		r.isCut = func(time.Duration, int, int) bool { return false }
		r.events, err = MakePlan(r.Plan, r.Seed, r.Gateways, r.Duration)
	}
	if err != nil {
		return err
	}
	hash, err := Hash(r.events)
	if err != nil {
		return err
	}
	r.result = &Result{
		Gateways: r.Gateways, Seed: r.Seed, Plan: r.Plan, PlanHash: hash, Policy: r.Policy,
		Events: r.events, SettlingMS: settlingTime.Milliseconds(),
	}
	return nil
}

// open starts the hosts, the discovery services and the relays, and then the gateways.
func (r *rig) open() error {
	if err := r.openHosts(); err != nil {
		return err
	}
	if err := r.openDiscoveries(); err != nil {
		return err
	}
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	if err := r.openRelays(); err != nil {
		return err
	}
	for i := range r.gateways {
		if err := r.writeFiles(i); err != nil {
			return err
		}
		if err := r.startGateway(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) openHosts() error {
	r.result.Hosts = r.Hosts / r.Members * r.Members
	r.logs = make([]hostLog, r.result.Hosts)
	for i := range r.result.Hosts {
		host, err := emulator.NewHost(fmt.Sprintf("s-%d", i), meanServiceTime, replicaLag)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
		r.logs[i].group = i / r.Members
		host.SetPrimary(r.isPrimary(i))
		host.LimitCores(coresPerHost, func(before int) { r.logArrival(i, before) })
	}
	return nil
}

func (r *rig) logArrival(host, before int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logs[host].arrivals = append(r.logs[host].arrivals, arrival{time.Since(r.start), before})
}

func (r *rig) isPrimary(host int) bool { return host%r.Members == 0 }

func (r *rig) isLastOfGroup(host int) bool { return host%r.Members == r.Members-1 }

// openDiscoveries starts a discovery service for each gateway, and publishes its first endpoint list.
func (r *rig) openDiscoveries() error {
	var err error
	if r.lists, err = r.makeLists(); err != nil {
		return err
	}
	for i := range r.Gateways {
		discovery, err := emulator.NewDiscovery()
		if err != nil {
			return err
		}
		r.discoveries = append(r.discoveries, discovery)
		discovery.Publish(r.lists.initial)
		if i%2 == 1 {
			discovery.Publish(r.lists.ofOddGateways)
		}
	}
	return nil
}

func (r *rig) reserveAddresses() error {
	const perGateway = 3
	free, err := loopback.Reserve(perGateway * r.Gateways)
	if err != nil {
		return err
	}
	for i := range r.Gateways {
		own := free[perGateway*i : perGateway*(i+1)]
		r.gateways = append(r.gateways, &gatewayProcess{
			listen: own[0], peer: own[1], fleet: own[2],
			configFile: filepath.Join(r.directory, fmt.Sprintf("%d.json", i)),
		})
	}
	return nil
}

func (r *rig) openRelays() error {
	var peers, fleet []string
	for _, gateway := range r.gateways {
		peers = append(peers, gateway.peer)
		fleet = append(fleet, gateway.fleet)
	}
	var modify func([]byte)
	if r.Defect == BreakBlindHerd {
		modify = forgeDigest
	}
	var err error
	if r.datagrams, err = newDatagramRelay(peers, r.Seed, modify); err != nil {
		return err
	}
	if r.Zoned == nil {
		return nil
	}
	isCut := func(from, to int) bool { return r.isCut(r.elapsed(), from, to) }
	r.fleetRelay, err = newFleetRelay(fleet, r.Plan == "loss", isCut)
	return err
}

// elapsed returns the time since the start of the run, or -1 h before the start.
func (r *rig) elapsed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		return -time.Hour
	}
	return time.Since(r.start)
}

func (r *rig) execute(ctx context.Context) error {
	readyContext, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range r.gateways {
		if err := r.waitReady(readyContext, i); err != nil {
			return err
		}
	}
	load := r.newLoad()
	r.Log("%d gateways, %d hosts, %.0f requests a second, plan %s %s",
		r.Gateways, r.result.Hosts, load.Rate, r.Plan, r.result.PlanHash)
	r.mu.Lock()
	r.start = time.Now()
	r.mu.Unlock()
	run, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	r.stallMonitor = monitorStalls(run)
	var faults sync.WaitGroup
	r.scheduleFaults(run, &faults)
	samples := load.Run(run)
	faults.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	r.result.Resent = load.Resent()
	r.evaluate(samples)
	if r.Zoned == nil {
		return nil
	}
	var err error
	r.result.Zone, err = r.evaluateZones(samples)
	return err
}

// newLoad returns a load that uses the fraction Use of the capacity of all hosts.
func (r *rig) newLoad() *emulator.Load {
	load := &emulator.Load{
		Address: r.gateways[0].listen, Groups: r.result.Hosts / r.Members, Seed: r.Seed, AnswerSlack: answerSlack,
		Rate:     r.Utilization * float64(r.result.Hosts*coresPerHost) / meanServiceTime.Seconds(),
		Draining: func(gateway int) bool { return r.gateways[gateway].draining.Load() },
	}
	for _, gateway := range r.gateways[1:] {
		load.OtherGateways = append(load.OtherGateways, gateway.listen)
	}
	return load
}

// close ends all processes, relays, discovery services and hosts that still run.
func (r *rig) close() {
	for _, gateway := range r.gateways {
		gateway.kill()
	}
	if r.datagrams != nil {
		r.datagrams.close()
	}
	if r.fleetRelay != nil {
		r.fleetRelay.close()
	}
	for _, discovery := range r.discoveries {
		discovery.Close()
	}
	for _, host := range r.hosts {
		host.Close()
	}
}

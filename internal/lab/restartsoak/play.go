package restartsoak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"cloverrock/internal/pgwire"
)

// runPlan executes the plan: it restarts the gateway under load, runs the checks and ends the second process.
func (r *run) runPlan(ctx context.Context) error {
	if r.plan.TerminatedStartMS > 0 {
		if err := r.terminateDuringStart(ctx); err != nil {
			return err
		}
	}
	first, err := r.startReady(ctx)
	if err != nil {
		return err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	r.startClients(load, &clients)
	idle := r.openPlannedIdle()
	sleep(ctx, loadBeforeRestart)
	r.restart(ctx, first)
	closeAll(idle)
	if r.defect == DefectNoList {
		if err := r.withholdEndpointList(); err != nil {
			return err
		}
	}
	second, err := r.startReady(ctx)
	if err != nil {
		return err
	}
	sleep(ctx, loadAfterRestart)
	stopLoad()
	clients.Wait()
	r.checkDescriptors(ctx, second)
	r.checkMemory(second)
	r.setConnectable(false)
	signaled := time.Now()
	second.signal(PlannedEvent{What: signalTERM})
	r.checkExit(second, signaled)
	return nil
}

// terminateDuringStart starts a process and sends it SIGTERM during startup. The process has accepted no request yet, so
// any exit status is allowed.
func (r *run) terminateDuringStart(ctx context.Context) error {
	p, err := r.startProcess()
	if err != nil {
		return err
	}
	sleep(ctx, milliseconds(r.plan.TerminatedStartMS))
	p.signal(PlannedEvent{What: signalTERM})
	if !p.waitEnded(r.plan.killAfter()) {
		r.fault("a process that got SIGTERM as it started did not end in %v", r.plan.killAfter())
	}
	return nil
}

// startReady starts a process, waits until it is ready, and then lets clients open connections. A process that is not ready
// in time is recorded as a fault.
func (r *run) startReady(ctx context.Context) (*process, error) {
	p, err := r.startProcess()
	if err != nil {
		return nil, err
	}
	err = r.waitReady(ctx)
	if errors.Is(err, errNotReady) {
		r.fault("not ready within %v", readyTimeout)
		err = nil
	}
	r.setConnectable(true)
	return p, err
}

func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	for i := range clientCount {
		c := &client{run: r, random: rand.New(rand.NewPCG(r.plan.Seed, uint64(i))), pipelineDepth: 1}
		if i%pipeliningClientInterval == 0 {
			c.pipelineDepth = maxPipelineDepth
		}
		clients.Go(func() { c.connectRepeatedly(ctx) })
	}
}

// openPlannedIdle opens the idle connections of the plan.
func (r *run) openPlannedIdle() []net.Conn { return r.openIdle(r.plan.IdleConnections) }

func (r *run) openIdle(number int) []net.Conn {
	var idle []net.Conn
	for range number {
		if conn, err := net.DialTimeout("tcp4", r.listen, dialTimeout); err == nil {
			idle = append(idle, conn)
		}
	}
	return idle
}

// awaitAccepted waits until the gateway has answered the startup message of each connection. An open connection alone may
// have been accepted only by the operating system.
func awaitAccepted(conns []net.Conn) {
	startup := pgwire.AppendStartup(nil, "user", "soak", "database", "soak")
	for _, conn := range conns {
		_ = conn.SetDeadline(time.Now().Add(dialTimeout)) // fails only on a closed connection, as do the calls below
		if _, err := conn.Write(startup); err == nil {
			_, _ = conn.Read(make([]byte, 1))
		}
	}
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close() // the gateway may have closed it
	}
}

// restart sends the signals and injects the faults of the plan, and checks that the process exits in time.
func (r *run) restart(ctx context.Context, p *process) {
	signaled := time.Now().Add(loadBeforeRestart / 2)
	at := func(ms int) { sleep(ctx, time.Until(signaled.Add(milliseconds(ms)))) }
	var events sync.WaitGroup
	for _, event := range r.plan.Faults {
		events.Go(func() {
			at(event.AtMS)
			r.injectFault(event.What)
		})
	}
	events.Go(func() {
		for _, event := range r.plan.Signals {
			at(event.AtMS)
			p.signal(event)
		}
	})
	events.Go(func() {
		at(r.plan.StopConnectingMS)
		r.setConnectable(false)
	})
	at(0)
	switch r.defect {
	case DefectAbrupt:
		_ = p.command.Process.Kill()
	case DefectStopped:
		at(1)
		_ = p.command.Process.Signal(syscall.SIGSTOP)
	}
	r.checkExit(p, signaled)
	events.Wait()
}

// injectFault applies a planned fault to the hosts or the endpoint list.
func (r *run) injectFault(what string) {
	switch what {
	case faultHostDies:
		r.hosts[hostCount-1].Close()
	case faultHostHangs:
		r.hosts[hostCount-1].SetHanging(true)
	case faultPrimaryMoves:
		r.hosts[0].SetPrimary(false)
		r.hosts[1].SetPrimary(true)
	case faultPrimaryLost:
		r.hosts[0].SetPrimary(false)
	case faultListChanges:
		if list, err := r.endpointList(2, r.hosts[:hostCount-1]); err == nil {
			r.discovery.Publish(list)
		}
	}
}

// withholdEndpointList makes the next process start without an endpoint list, and discovery stop answering.
func (r *run) withholdEndpointList() error {
	r.discovery.Silence()
	return r.writeConfiguration("null")
}

// checkExit checks that a process exits with code 0 before the earliest possible SIGKILL, and kills it otherwise.
func (r *run) checkExit(p *process, signaled time.Time) {
	if !p.waitEnded(time.Until(signaled.Add(r.plan.killAfter()))) {
		r.fault("did not end within %v of SIGTERM", r.plan.killAfter())
		_ = p.command.Process.Kill()
		<-p.ended
		return
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		r.fault("ended by %v, expected exit code 0", p.command.ProcessState)
	}
}

// checkDescriptors checks that the gateway closes the descriptors of all clients after they have disconnected.
func (r *run) checkDescriptors(ctx context.Context, p *process) {
	if r.defect == DefectHeld {
		held := r.openIdle(heldConnections)
		defer closeAll(held)
		awaitAccepted(held)
	}
	const ownDescriptors = 16 // standard streams, log, event loop, listener, discovery, timers
	open := 0
	for began := time.Now(); time.Since(began) < descriptorTimeout; sleep(ctx, redialPause) {
		open = p.descriptors()
		for _, host := range r.hosts {
			open -= host.Connections()
		}
		if open <= ownDescriptors {
			return
		}
	}
	r.fault("%d descriptors without clients and hosts; expected at most the gateway's own %d", open, ownDescriptors)
}

func (r *run) checkMemory(p *process) {
	limit := memoryMB
	if r.defect == DefectMemory {
		limit = 1
	}
	if used := p.peakMemoryMB(); used > limit {
		r.fault("%d MB of memory used, at most %d allowed", used, limit)
	}
}

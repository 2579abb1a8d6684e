package processrig

import (
	"context"
	"sync"
	"syscall"
	"time"

	"cloverrock/internal/lab/emulator"
)

const (
	reconnectTime     = 100 * time.Millisecond // from the return of a gateway until it accepts connections
	restartReadyLimit = 10 * time.Second
	shutdownMargin    = 700 * time.Millisecond // for a graceful shutdown, beyond the longest deadline of a request
)

// scheduleFaults starts a goroutine for each fault and each outage of the run, which waits until its time.
func (r *rig) scheduleFaults(ctx context.Context, wait *sync.WaitGroup) {
	for _, event := range r.events {
		wait.Go(func() { r.injectFault(ctx, event) })
	}
	if r.Zoned == nil {
		return
	}
	for _, outage := range r.plannedOutages() {
		wait.Go(func() { r.simulateOutage(ctx, outage) })
	}
}

// injectFault waits until the time of the event, begins its fault and ends it after the event's duration.
func (r *rig) injectFault(ctx context.Context, event Event) {
	if !r.sleepUntil(ctx, event.AtMS) {
		return
	}
	gateway := r.gateways[event.Gateway]
	from := time.Now()
	duration := time.Duration(event.ForMS) * time.Millisecond
	switch event.Fault {
	case Stop:
		gateway.signal(syscall.SIGSTOP)
		sleep(ctx, duration)
		gateway.signal(syscall.SIGCONT)
		r.recordDisturbance(gateway, from)
	case Kill:
		gateway.kill()
		sleep(ctx, duration)
		if err := r.startGateway(event.Gateway); err != nil {
			r.Log("%v", err)
		}
		r.recordDisturbance(gateway, from)
	case Restart: // not a disturbance: requests that the gateway has accepted must be answered
		r.restart(ctx, event.Gateway, duration)
	case Join:
		r.discoveries[event.Gateway].Publish(r.lists.full)
	case Cut, Late, Lossy: // not a disturbance: the gateway goes on serving requests
		r.datagrams.setFaults(event.Gateway, datagramFaultsOf(event))
		sleep(ctx, duration)
		r.datagrams.setFaults(event.Gateway, datagramFaults{})
	}
}

func datagramFaultsOf(event Event) datagramFaults {
	return datagramFaults{
		cutFrom: event.CutFrom, cutTo: event.CutTo, lossy: event.Fault == Lossy,
		delay: time.Duration(event.Delay) * time.Millisecond,
	}
}

func (r *rig) recordDisturbance(gateway *gatewayProcess, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gateway.disturbed = append(gateway.disturbed, interval{from, time.Now().Add(reconnectTime)})
}

// restart restarts a gateway gracefully, as behind a load balancer that reacts to the shutdown after loadBalancerDelay:
// until then clients still open new connections to the gateway. They use their open connections until the process has
// ended. The restart completes even if the run ends in the meantime.
func (r *rig) restart(ctx context.Context, i int, loadBalancerDelay time.Duration) {
	ctx = context.WithoutCancel(ctx)
	gateway := r.gateways[i]
	signaled := time.Now()
	if r.Defect == BreakAbrupt {
		gateway.signal(syscall.SIGKILL)
	} else {
		gateway.signal(syscall.SIGTERM)
	}
	sleep(ctx, loadBalancerDelay)
	gateway.draining.Store(true)
	r.waitShutdown(gateway, signaled.Add(longestDeadline()+shutdownMargin))
	if err := r.startGateway(i); err != nil {
		r.Log("%v", err)
		return
	}
	readyContext, cancel := context.WithTimeout(ctx, restartReadyLimit)
	defer cancel()
	if err := r.waitReady(readyContext, i); err != nil {
		r.Log("%v", err)
		return
	}
	gateway.draining.Store(false)
}

// waitShutdown waits until the gateway has ended. If it has not ended by the limit, it is killed and counted.
func (r *rig) waitShutdown(gateway *gatewayProcess, limit time.Time) {
	select {
	case <-gateway.ended:
	case <-time.After(time.Until(limit)):
		r.mu.Lock()
		r.result.Killed++
		r.mu.Unlock()
		gateway.kill()
	}
}

func longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range emulator.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// sleepUntil waits until the given time after the start of the run. It returns false if the run ends earlier.
func (r *rig) sleepUntil(ctx context.Context, milliseconds int64) bool {
	return sleep(ctx, time.Until(r.start.Add(time.Duration(milliseconds)*time.Millisecond)))
}

// sleep waits for the duration. It returns false if the run ends earlier.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

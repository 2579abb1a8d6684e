package chaos

import (
	"context"
	"math/rand/v2"
	"time"
)

// Kinds of faults. Kills and cuts have two kinds each, so that they are drawn twice as often as restarts.
const (
	faultKill = iota
	faultKillAgain
	faultCut
	faultCutOneWay
	faultRestartAll
	faultKinds // number of kinds
)

// cutDirection is the direction of the messages that a cut drops.
type cutDirection int

const (
	cutBothDirections cutDirection = iota
	cutOutgoing                    // messages from the instance
	cutIncoming                    // messages to the instance
)

// faultStream separates the faults' random numbers from those of the clients.
const faultStream = 5

// faultInjector draws faults and injects them.
type faultInjector struct {
	*chaosRun
	random *rand.Rand
}

// injectFaults injects faults until the time in the options has passed. On success all instances are running and no
// connection is cut when it returns.
func (r *chaosRun) injectFaults(ctx context.Context) error {
	p := &faultInjector{r, rand.New(rand.NewPCG(r.options.Seed, faultStream))}
	if err := p.pause(ctx, 800, 1200); err != nil {
		return err
	}
	// Each kind is injected once before kinds are drawn at random, so that a short run includes all of them.
	order := p.random.Perm(faultKinds)
	for n := 0; n < len(order) || time.Since(r.start) < r.options.Duration; n++ {
		kind := p.random.IntN(faultKinds)
		if n < len(order) {
			kind = order[n]
		}
		if err := p.injectFault(ctx, kind); err != nil {
			return err
		}
		if err := p.pause(ctx, 700, 1800); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for a random time between two bounds, in milliseconds.
func (p *faultInjector) pause(ctx context.Context, from, to int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(from+p.random.IntN(to-from)) * time.Millisecond):
		return nil
	}
}

func (p *faultInjector) injectFault(ctx context.Context, kind int) error {
	target := p.random.IntN(len(p.cluster.instances))
	powerLoss := p.random.IntN(2) == 0 || p.options.LoseSyncs
	switch kind {
	case faultKill, faultKillAgain:
		return p.killOne(ctx, p.cluster.instances[target], powerLoss)
	case faultCut:
		return p.cut(ctx, target, cutBothDirections)
	case faultCutOneWay:
		p.result.OneWayCuts++
		return p.cut(ctx, target, cutOutgoing+cutDirection(p.random.IntN(2)))
	default:
		return p.restartAll(powerLoss)
	}
}

// killOne kills an instance and starts it again after a pause.
func (p *faultInjector) killOne(ctx context.Context, target *instance, powerLoss bool) error {
	p.options.Log("kill %s, power loss %t", target.name, powerLoss)
	if err := target.kill(powerLoss); err != nil {
		return err
	}
	p.result.Kills++
	if powerLoss {
		p.result.PowerLosses++
	}
	if err := p.pause(ctx, 100, 1500); err != nil {
		return err
	}
	return p.cluster.start(target)
}

// cut cuts an instance off from the others and restores its connections after a pause.
func (p *faultInjector) cut(ctx context.Context, target int, direction cutDirection) error {
	p.options.Log("cut %s, way %d", p.cluster.instances[target].name, direction)
	p.result.Cuts++
	for pair, connection := range p.cluster.relays {
		if pair.from == target && direction != cutIncoming || pair.to == target && direction != cutOutgoing {
			connection.Cut()
		}
	}
	if err := p.pause(ctx, 500, 2500); err != nil {
		return err
	}
	for pair, connection := range p.cluster.relays {
		if pair.from == target || pair.to == target {
			connection.Resume()
		}
	}
	return nil
}

// restartAll kills all instances at once and starts them together.
func (p *faultInjector) restartAll(powerLoss bool) error {
	p.options.Log("kill all, power loss %t", powerLoss)
	p.result.FullRestarts++
	for _, instance := range p.cluster.instances {
		instance.signalKill()
	}
	for _, instance := range p.cluster.instances {
		if err := instance.kill(powerLoss); err != nil {
			return err
		}
	}
	for _, instance := range p.cluster.instances {
		if err := p.cluster.start(instance); err != nil {
			return err
		}
	}
	return nil
}

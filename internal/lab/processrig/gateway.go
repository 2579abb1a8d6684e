package processrig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"
)

// gatewayProcess is one process of the gateway.
type gatewayProcess struct {
	listen, peer string
	fleet        string // address at which it receives the messages of joint decisions
	configFile   string
	settingsFile string // empty: it takes no part in joint decisions
	command      *exec.Cmd
	ended        chan struct{} // closed when the process has ended
	draining     atomic.Bool   // clients open no new connections to it
	disturbed    []interval    // when it was stopped, or killed and not yet accepting connections again
}

type interval struct{ from, to time.Time }

// overlaps reports whether two intervals have some time in common.
func (i interval) overlaps(other interval) bool {
	return i.from.Before(other.to) && i.to.After(other.from)
}

// errEndedBeforeReady is returned for a gateway process that ended before it accepted connections.
var errEndedBeforeReady = errors.New("the process ended before it accepted connections")

// readyPollInterval is the pause between attempts to connect to a gateway that is starting.
const readyPollInterval = 5 * time.Millisecond

// kill sends SIGKILL to the process, if it was started, and waits for its end.
func (g *gatewayProcess) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill() // fails only if the process has already ended
	<-g.ended
}

// signal sends a signal to the process.
func (g *gatewayProcess) signal(signal syscall.Signal) {
	_ = g.command.Process.Signal(signal) // fails only if the process has already ended
}

// hasEnded reports whether the process has ended.
func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

func (r *rig) startGateway(i int) error {
	gateway := r.gateways[i]
	log, err := os.OpenFile(r.logFile(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy of the descriptor
	args := []string{"serve"}
	if r.Zoned == nil && r.Gateways <= maxTraced {
		args = append(args, "--log", "trace")
	}
	if gateway.settingsFile != "" {
		args = append(args, "--settings", gateway.settingsFile)
	}
	command := exec.Command(r.Program, args...)
	command.Env = append(os.Environ(), "EDGE_CONFIG="+gateway.configFile)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with this one
	if err := command.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", i, err)
	}
	ended := make(chan struct{})
	gateway.command = command
	gateway.ended = ended
	go func() {
		defer close(ended)
		_ = command.Wait() // the exit status is not evaluated
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endedCPU += command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	}()
	return nil
}

// waitReady waits until a gateway accepts connections.
func (r *rig) waitReady(ctx context.Context, i int) error {
	gateway := r.gateways[i]
	for {
		connection, err := net.DialTimeout("tcp4", gateway.listen, time.Second)
		if err == nil {
			_ = connection.Close() // it was opened only to see that it is accepted
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gateway %d does not accept connections: %w", i, ctx.Err())
		case <-gateway.ended:
			return fmt.Errorf("gateway %d: %w", i, errEndedBeforeReady)
		case <-time.After(readyPollInterval):
		}
	}
}

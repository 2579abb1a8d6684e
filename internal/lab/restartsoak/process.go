package restartsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/fullpipe"
	"cloverrock/internal/pgwire"
)

// process is a gateway process.
type process struct {
	command *exec.Cmd
	logFile string        // empty if the log goes to a pipe that is never read
	logPipe [2]*os.File   // both ends of that pipe
	ended   chan struct{} // closed when the process has ended
	endedAt time.Time     // valid after ended is closed
}

var errNotReady = errors.New("the gateway did not answer an empty query in time")

// startProcess starts the gateway.
func (r *run) startProcess() (*process, error) {
	r.processCount++
	p := &process{ended: make(chan struct{})}
	p.command = exec.Command(r.program, "serve", "--log", "trace")
	p.command.Env = append(os.Environ(), "EDGE_CONFIG="+r.configFile)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // kill the process if the run dies
	if err := p.openLog(r.directory, r.processCount, r.plan.StalledLog); err != nil {
		return nil, err
	}
	err := p.command.Start()
	if p.logFile != "" {
		_ = p.command.Stderr.(*os.File).Close() // the process has its own copy of the descriptor
	}
	if err != nil {
		return nil, fmt.Errorf("start the gateway: %w", err)
	}
	go func() {
		_ = p.command.Wait() // ProcessState holds the exit status
		p.endedAt = time.Now()
		close(p.ended)
	}()
	r.started = append(r.started, p)
	return p, nil
}

func (p *process) openLog(directory string, number int, stalled bool) error {
	if stalled {
		reader, writer, err := fullpipe.Open()
		p.logPipe = [2]*os.File{reader, writer}
		p.command.Stderr = writer
		return err
	}
	p.logFile = filepath.Join(directory, fmt.Sprintf("%d.log", number))
	file, err := os.Create(p.logFile)
	p.command.Stderr = file
	return err
}

// close kills the process if it is still running, and waits until it has ended.
func (p *process) close() {
	_ = p.command.Process.Kill() // it may have ended already
	<-p.ended
	for _, end := range p.logPipe {
		if end != nil {
			_ = end.Close() // the unread rest of the log is discarded
		}
	}
}

func (p *process) signal(event PlannedEvent) {
	for range max(event.Count, 1) {
		_ = p.command.Process.Signal(signalNumbers[event.What]) // it may have ended already
	}
}

// waitEnded waits until the process has ended, and reports whether it has.
func (p *process) waitEnded(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// waitReady waits until the gateway answers an empty query. The gateway does so as soon as it has an endpoint list.
func (r *run) waitReady(ctx context.Context) error {
	for began := time.Now(); time.Since(began) < readyTimeout && ctx.Err() == nil; sleep(ctx, redialPause) {
		if r.isReady() {
			return nil
		}
	}
	return errNotReady
}

func (r *run) isReady() bool {
	conn, err := net.DialTimeout("tcp4", r.listen, dialTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // nothing more is read or written
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	startup := pgwire.AppendStartup(nil, "user", "soak", "database", "soak")
	if _, err := conn.Write(pgwire.AppendQuery(startup, "")); err != nil {
		return false
	}
	reader := bufio.NewReader(conn)
	for {
		message, err := emulator.ReadMessage(reader)
		if err != nil || message.Type == 'E' {
			return false
		}
		if message.Type == 'I' {
			return true
		}
	}
}

// descriptors returns the number of open file descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemoryMB returns the peak resident memory of the process in MiB.
func (p *process) peakMemoryMB() (mb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kib int
	_, _ = fmt.Sscan(rest, &kib) // kib stays 0 on an error
	return kib >> 10
}

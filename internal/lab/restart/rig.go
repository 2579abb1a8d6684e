package restart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/settings"
)

// ErrNotReady reports that the gateway did not accept connections within readyTimeout.
var ErrNotReady = errors.New("the gateway did not accept connections in time")

const (
	readyTimeout    = 10 * time.Second
	readyPoll       = 2 * time.Millisecond
	hostServiceTime = 8 * time.Millisecond
	replicaLag      = 20 * time.Millisecond

	configuredListGeneration = 7 // generation of the endpoint list in the gateway's configuration
)

// instanceNames lists the names of the store's instances. The first runs in the gateway's process.
var instanceNames = []string{"a", "b", "c"}

// rig holds the processes, emulated hosts and discovery of one run.
type rig struct {
	options        Options
	directory      string
	gatewayAddress string // the gateway's address for clients
	configFile     string
	settingsFile   string // the gateway's settings file; empty: no store
	discovery      *emulator.Discovery
	hosts          []*emulator.Host
	gateway        *exec.Cmd
	storeProcesses []*exec.Cmd // processes of the store, without the instance in the gateway's process
}

// openRig starts the hosts, discovery and, if withStore is set, the store, and writes the gateway's files.
func openRig(options Options, withStore bool) (*rig, error) {
	directory, err := os.MkdirTemp("", "restart-")
	if err != nil {
		return nil, err
	}
	r := &rig{options: options, directory: directory}
	if err := r.open(withStore); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) open(withStore bool) error {
	var err error
	if r.discovery, err = emulator.NewDiscovery(); err != nil {
		return err
	}
	if err := r.addHosts(hostCount, "s-"); err != nil {
		return err
	}
	r.hosts[0].SetPrimary(true)
	if err := r.writeConfiguration(); err != nil {
		return err
	}
	if withStore {
		return r.startStore()
	}
	return nil
}

// close kills all processes, closes the emulated hosts and discovery, and removes the directory.
func (r *rig) close() {
	r.killGateway()
	for _, instance := range r.storeProcesses {
		kill(instance)
	}
	for _, host := range r.hosts {
		host.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	_ = os.RemoveAll(r.directory) // a directory that cannot be removed does no harm
}

func (r *rig) startProcess(env []string, args ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(r.directory, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own copy of the descriptor
	command := exec.Command(r.options.Program, args...)
	command.Env = append(os.Environ(), env...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // kill the process if the run dies
	return command, command.Start()
}

func kill(process *exec.Cmd) {
	_ = process.Process.Kill() // it may have ended already
	_ = process.Wait()         // the exit status is not checked
}

// startGateway starts the gateway and waits until it accepts connections.
func (r *rig) startGateway(ctx context.Context) error {
	args := []string{"serve"}
	if r.settingsFile != "" {
		args = append(args, "--settings", r.settingsFile)
	}
	gateway, err := r.startProcess([]string{"EDGE_CONFIG=" + r.configFile}, args...)
	if err != nil {
		return err
	}
	r.gateway = gateway
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if connection, err := net.DialTimeout("tcp4", r.gatewayAddress, time.Second); err == nil {
			_ = connection.Close() // nothing is read or written
			return nil
		}
		time.Sleep(readyPoll)
	}
	return ErrNotReady
}

func (r *rig) killGateway() {
	if r.gateway != nil {
		kill(r.gateway)
		r.gateway = nil
	}
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

func (r *rig) addHosts(number int, prefix string) error {
	for i := range number {
		host, err := emulator.NewHost(prefix+strconv.Itoa(i), hostServiceTime, replicaLag)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
	}
	return nil
}

// endpointList returns a complete endpoint list in discovery's JSON format. The list names the first host as the primary.
func endpointList(generation int, hosts []*emulator.Host) map[string]any {
	var endpoints []map[string]any
	for i, host := range hosts {
		endpoints = append(endpoints, emulator.Endpoint(host, i == 0))
	}
	return map[string]any{"generation": generation, "reset": true, "instances": endpoints}
}

// writeConfiguration writes the gateway's configuration. Its endpoint list names the host s-0 as the primary.
func (r *rig) writeConfiguration() error {
	free, err := loopback.Reserve(1)
	if err != nil {
		return err
	}
	r.gatewayAddress = free[0]
	text, err := json.MarshalIndent(map[string]any{
		"name":      instanceNames[0],
		"listen":    r.gatewayAddress,
		"discovery": r.discovery.Address(),
		"seed":      strconv.FormatUint(r.options.Seed, 16),
		"limits":    map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":     endpointList(configuredListGeneration, r.hosts),
		"settings":  emulator.PlatformSettings(),
	}, "", "  ")
	if err != nil {
		return err
	}
	r.configFile = filepath.Join(r.directory, "config.json")
	return os.WriteFile(r.configFile, text, 0o600)
}

// startStore creates a store and starts its instances, except for the one in the gateway's process.
func (r *rig) startStore() error {
	args := []string{"store", "init", "--dir", r.directory, "--local"}
	free, err := loopback.Reserve(len(instanceNames))
	if err != nil {
		return err
	}
	for i, name := range instanceNames {
		args = append(args, "--member", name+"="+free[i])
	}
	if output, err := exec.Command(r.options.Program, args...).CombinedOutput(); err != nil {
		return fmt.Errorf("store init: %w: %s", err, output)
	}
	r.settingsFile = filepath.Join(r.directory, instanceNames[0]+".json")
	err = r.editSettings(func(edited *settings.Settings) {
		if !r.options.BreakWarmStart {
			edited.WarmStart = &settings.WarmStart{}
		}
	})
	if err != nil {
		return err
	}
	for _, name := range instanceNames[1:] {
		file := filepath.Join(r.directory, name+".json")
		instance, err := r.startProcess(nil, "store", "serve", "--settings", file)
		if err != nil {
			return err
		}
		r.storeProcesses = append(r.storeProcesses, instance)
	}
	return nil
}

// editSettings applies a change to the gateway's settings file.
func (r *rig) editSettings(edit func(*settings.Settings)) error {
	edited, err := settings.Load(r.settingsFile)
	if err != nil {
		return err
	}
	edit(edited)
	text, err := json.Marshal(edited)
	if err != nil {
		return err
	}
	return os.WriteFile(r.settingsFile, text, 0o600)
}

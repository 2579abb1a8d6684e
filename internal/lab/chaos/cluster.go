package chaos

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/lab/relay"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/pki"
)

// ErrNoProgram reports that the gateway's program was not found in the directory of the running program.
var ErrNoProgram = errors.New("the program under test was not found; build it into the directory of the running program")

const (
	snapshotEntries = 2000 // log entries between snapshots
	tickMS          = 20   // interval of the instances' clock ticks
)

// instancePair identifies the connections from one instance to another by their indexes.
type instancePair struct{ from, to int }

// cluster holds the processes of the store and the relays between them.
type cluster struct {
	directory, program string
	loseSyncs          bool
	instances          []*instance
	relays             map[instancePair]*relay.Relay
}

// instance is one process of the store.
type instance struct {
	name, address string
	settingsFile  string
	dataDirectory string
	log           *os.File

	mu              sync.Mutex
	command         *exec.Cmd
	ended           chan struct{}
	killedOnPurpose bool // whether it was killed on purpose since its last start
	unexpectedExits int  // number of times that it ended without being killed
}

// newCluster creates a store in a directory and the relays between its instances. It does not start the instances.
func newCluster(directory string, options Options) (*cluster, error) {
	c := &cluster{
		directory: directory, program: options.Program, loseSyncs: options.LoseSyncs,
		relays: map[instancePair]*relay.Relay{},
	}
	if err := c.initStore(options.Instances); err != nil {
		return nil, err
	}
	for i := range c.instances {
		if err := c.openRelays(i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) initStore(instances int) error {
	addresses, err := loopback.Reserve(instances)
	if err != nil {
		return err
	}
	args := []string{"store", "init", "--dir", c.directory, "--local"}
	for i, address := range addresses {
		name := "n" + strconv.Itoa(i)
		args = append(args, "--member", name+"="+address)
		c.instances = append(c.instances, &instance{
			name: name, address: address,
			settingsFile:  filepath.Join(c.directory, name+".json"),
			dataDirectory: filepath.Join(c.directory, name+"-data"),
		})
	}
	if output, err := exec.Command(c.program, args...).CombinedOutput(); err != nil {
		return fmt.Errorf("store init: %w: %s", err, bytes.TrimSpace(output))
	}
	return nil
}

// openRelays opens the relays from one instance to the others and writes them into its settings.
func (c *cluster) openRelays(i int) error {
	routes := map[string]string{}
	for j, other := range c.instances {
		if i == j {
			continue
		}
		opened, err := relay.New(other.address)
		if err != nil {
			return err
		}
		c.relays[instancePair{i, j}] = opened
		routes[other.name] = opened.Address()
	}
	file := c.instances[i].settingsFile
	edited, err := settings.Load(file)
	if err != nil {
		return err
	}
	edited.Store.Routes = routes
	edited.Store.SnapshotEntries = snapshotEntries
	edited.Store.TickMS = tickMS
	text, err := json.Marshal(edited)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

func (c *cluster) start(target *instance) error {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.log == nil {
		file, err := os.Create(filepath.Join(c.directory, target.name+".log"))
		if err != nil {
			return err
		}
		target.log = file
	}
	args := []string{"store", "serve", "--settings", target.settingsFile}
	if c.loseSyncs {
		args = append(args, "--rehearse-lost-syncs")
	}
	command := exec.Command(c.program, args...)
	command.Stdout = target.log
	command.Stderr = target.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // kill the process if the run dies
	ended := make(chan struct{})
	target.command = command
	target.ended = ended
	target.killedOnPurpose = false
	if err := command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(ended)
		_ = command.Wait() // the exit status is not checked
		target.recordExit()
	}()
	return nil
}

func (i *instance) recordExit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.killedOnPurpose {
		i.unexpectedExits++
	}
}

// signalKill kills the process without waiting until it has ended.
func (i *instance) signalKill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.killedOnPurpose = true
	_ = i.command.Process.Kill() // it may have ended already
}

// kill kills the process, if it was started, and waits until it has ended. With powerLoss it then emulates a power loss by
// discarding the data in its directory that was not synced.
func (i *instance) kill(powerLoss bool) error {
	i.mu.Lock()
	i.killedOnPurpose = true
	command := i.command
	ended := i.ended
	i.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Kill() // it may have ended already
	<-ended
	if !powerLoss {
		return nil
	}
	directory, err := disk.OpenDir(i.dataDirectory)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading only
	return disk.DiscardUnsynced(directory)
}

// unexpectedExits returns the number of times that processes ended without being killed.
func (c *cluster) unexpectedExits() int {
	sum := 0
	for _, instance := range c.instances {
		instance.mu.Lock()
		sum += instance.unexpectedExits
		instance.mu.Unlock()
	}
	return sum
}

// close kills all processes and closes the relays.
func (c *cluster) close() {
	for _, instance := range c.instances {
		_ = instance.kill(false) // fails only with powerLoss
		if instance.log != nil {
			_ = instance.log.Close() // the process had its own copy of the descriptor
		}
	}
	for _, opened := range c.relays {
		opened.Close()
	}
}

// client returns a client with the operator's credentials. It tries the instances in order, beginning with first, or only
// that one if single is set. attempt is the timeout of each attempt.
func (c *cluster) client(first int, single bool, attempt time.Duration) (*client.Client, error) {
	credentials, err := pki.LoadTLS(pki.Files{
		Certificate: filepath.Join(c.directory, "operator.pem"),
		Key:         filepath.Join(c.directory, "operator-key.pem"),
		Authority:   filepath.Join(c.directory, "authority.pem"),
	})
	if err != nil {
		return nil, err
	}
	var endpoints []string
	for i := range c.instances {
		endpoints = append(endpoints, c.instances[(first+i)%len(c.instances)].address)
	}
	config := client.Config{Endpoints: endpoints, TLS: credentials, SingleEndpoint: single, AttemptTimeout: attempt}
	return client.New(config), nil
}

// FindProgram returns the path of the gateway's program in the directory of the running program.
func FindProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "cloverrock")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoProgram, err)
	}
	return path, nil
}

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

// ErrNoProgram reports that the gateway's program is not in the directory of the running program.
var ErrNoProgram = errors.New("the program under test is missing; build it into the directory of this one")

const (
	snapshotEntries = 2000 // entries between snapshots
	tickMS          = 20   // of the instances' clocks
)

// direction is the connections from one instance to another.
type direction struct{ from, to int }

// cluster is the processes with the relays between them.
type cluster struct {
	directory, program string
	loseSyncs          bool
	instances          []*instance
	relays             map[direction]*relay.Relay
}

// instance is one process of the store.
type instance struct {
	name, address string
	settingsFile  string
	dataDirectory string
	log           *os.File

	mu          sync.Mutex
	command     *exec.Cmd
	ended       chan struct{}
	down        bool // it was killed on purpose
	unaskedEnds int  // times that it ended by itself
}

// newCluster founds a store in a directory.
func newCluster(directory string, options Options) (*cluster, error) {
	c := &cluster{
		directory: directory, program: options.Program, loseSyncs: options.LoseSyncs,
		relays: map[direction]*relay.Relay{},
	}
	if err := c.found(options.Instances); err != nil {
		return nil, err
	}
	for i := range c.instances {
		if err := c.connect(i); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) found(instances int) error {
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

// connect opens the relays from one instance to the others and writes them into its settings.
func (c *cluster) connect(i int) error {
	routes := map[string]string{}
	for j, other := range c.instances {
		if i == j {
			continue
		}
		opened, err := relay.New(other.address)
		if err != nil {
			return err
		}
		c.relays[direction{i, j}] = opened
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

func (c *cluster) start(started *instance) error {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.log == nil {
		file, err := os.Create(filepath.Join(c.directory, started.name+".log"))
		if err != nil {
			return err
		}
		started.log = file
	}
	args := []string{"store", "serve", "--settings", started.settingsFile}
	if c.loseSyncs {
		args = append(args, "--rehearse-lost-syncs")
	}
	command := exec.Command(c.program, args...)
	command.Stdout = started.log
	command.Stderr = started.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the run
	ended := make(chan struct{})
	started.command = command
	started.ended = ended
	started.down = false
	if err := command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(ended)
		_ = command.Wait() // how it ended does not matter
		started.noteEnd()
	}()
	return nil
}

func (i *instance) noteEnd() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.down {
		i.unaskedEnds++
	}
}

// signalKill kills the process without waiting for its end.
func (i *instance) signalKill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.down = true
	_ = i.command.Process.Kill() // it may have ended already
}

// kill kills a process, if it was started, and waits for its end. With powerLoss it then removes the data from its
// directory that was not synced.
func (i *instance) kill(powerLoss bool) error {
	i.mu.Lock()
	i.down = true
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

// unaskedEnds returns how many times processes ended although nobody killed them.
func (c *cluster) unaskedEnds() int {
	sum := 0
	for _, instance := range c.instances {
		instance.mu.Lock()
		sum += instance.unaskedEnds
		instance.mu.Unlock()
	}
	return sum
}

// close kills all processes and closes the relays.
func (c *cluster) close() {
	for _, instance := range c.instances {
		_ = instance.kill(false) // fails only for a loss of power
		if instance.log != nil {
			_ = instance.log.Close() // the process had a descriptor of its own
		}
	}
	for _, opened := range c.relays {
		opened.Close()
	}
}

// client returns a client with the operator's credentials. It tries the instances from first on, or only that one if
// single is set. attempt is the timeout of one try.
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

// FindProgram returns the path of the gateway's program in the directory of this one.
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

package restartsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"cloverrock/internal/lab/emulator"
	"cloverrock/internal/lab/loopback"
)

// Deliberate defects of a run. They show that each check detects the fault it is meant for.
const (
	DefectNone      = ""
	DefectAbrupt    = "abrupt"     // the process is killed at SIGTERM: requests are lost, and it does not exit with code 0
	DefectTwice     = "twice"      // each write is counted as executed a second time
	DefectLateLeave = "late-leave" // the disconnect of a client is recorded earlier than it happens: attempts begin after it
	DefectNoList    = "no-list"    // the restarted process gets no endpoint list: it does not become ready
	DefectStopped   = "stopped"    // the process is stopped by SIGSTOP after SIGTERM: it does not exit
	DefectHeld      = "held"       // connections stay open while descriptors are counted
	DefectMemory    = "memory"     // the memory limit is lower than what any process needs
)

// Defects lists the possible values of Options.Defect.
var Defects = []string{
	DefectAbrupt, DefectTwice, DefectLateLeave, DefectNoList, DefectStopped, DefectHeld, DefectMemory,
}

// Options configures a run.
type Options struct {
	Program string // path of the gateway's program
	Seed    uint64
	Defect  string
}

// Result reports the requests and faults of a run.
type Result struct {
	Plan          Plan           `json:"plan"`
	Defect        string         `json:"defect,omitempty"`
	Requests      int            `json:"requests"`
	Answers       map[string]int `json:"answers"`
	Faults        []string       `json:"faults"`
	FirstFaultLog []string       `json:"first_fault_log,omitempty"` // log lines of the first request with a fault
}

const (
	clientCount              = 24
	pipeliningClientInterval = 4 // one client in this many sends several queries without waiting for answers
	hostCount                = 3
	hostServiceTime          = 5 * time.Millisecond
	replicaLag               = 15 * time.Millisecond
	memoryMB                 = 64
	sockets                  = 512
	readyTimeout             = 6 * time.Second
	loadBeforeRestart        = 1200 * time.Millisecond // before the first SIGTERM
	loadAfterRestart         = time.Second             // after the restarted process is ready
	finishTimeout            = 6 * time.Second         // time a client waits for its last answers
	descriptorTimeout        = 1500 * time.Millisecond // until the clients' descriptors must be closed; shorter than any idle timeout
	heldConnections          = 30
)

// run holds the state of one run.
type run struct {
	plan         Plan
	program      string
	defect       string
	directory    string
	listen       string
	configFile   string
	hosts        []*emulator.Host
	discovery    *emulator.Discovery
	processCount int
	started      []*process

	mu          sync.Mutex // protects the fields below
	lastID      int
	generation  int  // number of the process that clients connect to
	connectable bool // whether clients may open new connections
	requests    []*request
	arrivals    map[int][]time.Time // times at which requests arrived at hosts, by request id
	executed    map[int]int         // how often each write was executed, by request id
	faults      []string
}

// Run executes the plan of the given seed and returns the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := &run{
		plan: MakePlan(options.Seed), program: options.Program, defect: options.Defect,
		arrivals: map[int][]time.Time{}, executed: map[int]int{},
	}
	var err error
	if r.directory, err = os.MkdirTemp("", "restartsoak-"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(r.directory) }() // a directory that is left behind does no harm
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	if err := r.runPlan(ctx); err != nil {
		return nil, err
	}
	return r.evaluate(), ctx.Err()
}

// open starts hosts and discovery and writes the gateway's configuration.
func (r *run) open() error {
	var err error
	if r.discovery, err = emulator.NewDiscovery(); err != nil {
		return err
	}
	for i := range hostCount {
		host, err := emulator.NewHost(fmt.Sprintf("s-%d", i), hostServiceTime, replicaLag)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, host)
		host.SetPrimary(i == 0)
		host.Observe(r.observe, r.plan.HangPercent)
	}
	list, err := r.endpointList(1, r.hosts)
	if err != nil {
		return err
	}
	r.discovery.Publish(list)
	return r.writeConfiguration(list)
}

func (r *run) endpointList(generation int, hosts []*emulator.Host) (string, error) {
	var endpoints []map[string]any
	for i, host := range hosts {
		endpoints = append(endpoints, emulator.Endpoint(host, i == 0))
	}
	text, err := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": endpoints})
	return string(text), err
}

func (r *run) writeConfiguration(list string) error {
	free, err := loopback.Reserve(1)
	if err != nil {
		return err
	}
	r.listen = free[0]
	r.configFile = filepath.Join(r.directory, "config.json")
	settings := emulator.PlatformSettings()
	settings["classes"] = r.classSettings()
	text, err := json.Marshal(map[string]any{
		"name": "soak", "listen": r.listen, "discovery": r.discovery.Address(),
		"seed":   strconv.FormatUint(r.plan.Seed, 16),
		"limits": map[string]any{"memory_mb": memoryMB, "sockets": sockets},
		"known":  json.RawMessage(list), "settings": settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.configFile, text, 0o600)
}

// classSettings returns the settings of the deployment's request classes with the deadlines of the plan.
func (r *run) classSettings() []map[string]any {
	classes := emulator.ClassSettings()
	for _, settings := range classes {
		deadline := min(settings["deadlineMs"].(int64), int64(r.plan.LongestDeadlineMS))
		if settings["repeat"] == "non_idempotent" {
			deadline = int64(r.plan.LongestDeadlineMS)
		}
		settings["deadlineMs"] = deadline
	}
	return classes
}

// close ends all processes, hosts and discovery that the run started.
func (r *run) close() {
	for _, p := range r.started {
		p.close()
	}
	for _, host := range r.hosts {
		host.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// observe records a request that arrives at a host.
func (r *run) observe(statement string, executesWrite bool) {
	id := idOf(statement)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], time.Now())
	if executesWrite {
		r.executed[id]++
		if r.defect == DefectTwice {
			r.executed[id]++
		}
	}
}

// connectTarget returns the number of the process that clients connect to, and whether they may open new connections.
func (r *run) connectTarget() (generation int, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation, r.connectable
}

func (r *run) setConnectable(open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.generation++
	}
	r.connectable = open
}

func (r *run) newRequest(random *rand.Rand, generation int) *request {
	classes := r.plan.classes()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return &request{id: r.lastID, class: classes[random.IntN(len(classes))], generation: generation}
}

func (r *run) record(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
}

func (r *run) fault(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, a...))
}

// Package membership keeps track of which gateways of a fleet are alive, and carries messages between them.
//
// Failure detection and broadcasts are those of hashicorp/memberlist (the SWIM protocol with the Lifeguard extensions).
// This package adds a transport that can send everything through a relay. It also keeps members that have failed,
// because a quorum is counted over all members, including failed ones.
package membership

import (
	"context"
	"fmt"
	"log"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"cloverrock/internal/agreement"
)

const (
	defaultDeadRetention = time.Hour
	minJoinBackoff       = 100 * time.Millisecond
	maxJoinBackoff       = 5 * time.Second
	leaveTimeout         = 200 * time.Millisecond

	gossipInterval = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	// pushPullInterval is the interval at which the library synchronizes the member list with another member. The entries
	// of package crdt are synchronized separately, in rounds of that package.
	pushPullInterval = 30 * time.Second
	// deadNodeReclaimTime is the time after which a restarted gateway may use its name at another address.
	deadNodeReclaimTime = time.Second
)

// Config configures this gateway's membership.
type Config struct {
	Name          string
	Listen        string                            // address and port, for TCP and UDP
	Join          []string                          // addresses of other members; retried until one answers
	Relay         string                            // address that all traffic is sent through, for experiments; empty: none
	DeadRetention time.Duration                     // how long a failed gateway counts as a member; 0: one hour
	OnMessage     func(from string, message []byte) // called on the library's goroutines; must not block
	Log           zerolog.Logger
}

// DuplicateNameError reports that another process uses this gateway's name.
type DuplicateNameError struct{ Name, Address string }

func (e *DuplicateNameError) Error() string {
	return fmt.Sprintf("another process runs under the name %s at %s", e.Name, e.Address)
}

// Remedy returns what an operator can do.
func (e *DuplicateNameError) Remedy() string {
	return "give each gateway a name of its own (the key name, or EDGE_NAME), or end the process at that address"
}

// ListenError reports that the gateway can't listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("fleet.listen: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *ListenError) Remedy() string {
	return "set fleet.listen to an address of this machine whose TCP and UDP ports are both free"
}

// UnknownMemberError reports a name that no live member has.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("membership: %s is not a live member", e.Name)
}

// Members is the member list and message transport of this gateway. Its methods may be called from any goroutine.
type Members struct {
	conf        Config
	list        *memberlist.Memberlist
	createdList atomic.Pointer[memberlist.Memberlist] // same as list, for library goroutines that run before list is set
	queue       *memberlist.TransmitLimitedQueue

	mu       sync.Mutex           // guards failedAt
	failedAt map[string]time.Time // when members failed, by name

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Open joins the fleet. It does not wait for other members. If it can't listen on Config.Listen, the error is a
// *ListenError.
func Open(conf Config) (*Members, error) {
	address, err := netip.ParseAddrPort(conf.Listen)
	if err != nil {
		return nil, &ListenError{conf.Listen, err}
	}
	if conf.DeadRetention == 0 {
		conf.DeadRetention = defaultDeadRetention
	}
	m := &Members{conf: conf, failedAt: map[string]time.Time{}}
	logger := log.New(libraryLog{conf.Log}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{address.Addr().String()},
		BindPort:  int(address.Port()),
		Logger:    logger,
	})
	if err != nil {
		return nil, &ListenError{conf.Listen, err}
	}
	library := m.libraryConfig(address, &transport{NetTransport: inner, relay: conf.Relay}, logger)
	m.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: library.RetransmitMult, NumNodes: m.count}
	list, err := memberlist.Create(library)
	if err != nil {
		_ = inner.Shutdown() // the error of Create is returned
		return nil, fmt.Errorf("membership: start: %w", err)
	}
	m.setList(list)
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.wg.Go(func() { m.join(ctx) })
	return m, nil
}

func (m *Members) libraryConfig(address netip.AddrPort, t *transport, logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = m.conf.Name
	c.BindAddr = address.Addr().String()
	c.BindPort = int(address.Port())
	c.AdvertisePort = int(address.Port())
	c.Transport = t
	c.Logger = logger
	c.LogOutput = nil
	c.Delegate = (*delegate)(m)
	c.Events = (*events)(m)
	c.Conflict = (*conflicts)(m)
	c.GossipInterval = gossipInterval
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.PushPullInterval = pushPullInterval
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	c.EnableCompression = false
	return c
}

func (m *Members) setList(list *memberlist.Memberlist) {
	m.list = list
	m.createdList.Store(list)
}

// count returns the number of live members. The library also calls it before Create has returned the list.
func (m *Members) count() int {
	list := m.createdList.Load()
	if list == nil {
		return 1
	}
	return list.NumMembers()
}

// join contacts the configured addresses with exponential backoff while this gateway knows no other live member.
func (m *Members) join(ctx context.Context) {
	for backoff := minJoinBackoff; ; backoff = min(2*backoff, maxJoinBackoff) {
		if m.list.NumMembers() < 2 && len(m.conf.Join) > 0 {
			if n, err := m.list.Join(m.conf.Join); n == 0 && err != nil {
				m.conf.Log.Debug().Err(err).Dur("backoff_ms", backoff).Msg("membership: no join address answers, retrying")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
	}
}

// Close leaves the fleet gracefully, so that other gateways stop counting this one as a member.
func (m *Members) Close() {
	m.stop()
	m.wg.Wait()
	if err := m.list.Leave(leaveTimeout); err != nil {
		m.conf.Log.Debug().Err(err).Msg("membership: leaving failed")
	}
	if err := m.list.Shutdown(); err != nil {
		m.conf.Log.Debug().Err(err).Msg("membership: shutdown failed")
	}
}

// Snapshot returns the members, and whether each is alive. A failed gateway still counts as a member until
// DeadRetention has passed.
func (m *Members) Snapshot() agreement.Members {
	members := agreement.Members{}
	for _, node := range m.list.Members() {
		members[node.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, at := range m.failedAt {
		if time.Since(at) > m.conf.DeadRetention {
			delete(m.failedAt, name)
		} else if !members[name] {
			members[name] = false
		}
	}
	return members
}

// Broadcast queues a message to all members. It replaces a message with the same key that is still queued.
func (m *Members) Broadcast(key string, message []byte) {
	m.queue.QueueBroadcast(&keyedBroadcast{key, message})
}

// Send sends a message to one member over TCP. It blocks until the connection is open and the message is written. For a
// name that no live member has, the error is an *UnknownMemberError.
func (m *Members) Send(name string, message []byte) error {
	for _, node := range m.list.Members() {
		if node.Name != name {
			continue
		}
		if err := m.list.SendReliable(node, m.withSender(message)); err != nil {
			return fmt.Errorf("membership: send to %s: %w", name, err)
		}
		return nil
	}
	return &UnknownMemberError{name}
}

// withSender prepends the length of this gateway's name in one byte, and the name, to a message.
func (m *Members) withSender(message []byte) []byte {
	b := append([]byte{byte(len(m.conf.Name))}, m.conf.Name...)
	return append(b, message...)
}

// Package membership keeps track of which gateways of a fleet are alive, and carries messages between them.
//
// Failure detection and broadcasts are those of hashicorp/memberlist (the SWIM protocol with the Lifeguard extensions).
// This package adds a transport that can go through a relay, and remembers members that have failed, since a quorum is
// counted over all members.
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
	// pushPullInterval is for the member list only; package crdt synchronizes entries in its own rounds.
	pushPullInterval = 30 * time.Second
	// deadNodeReclaimTime is how soon a restarted gateway may use its name at another address.
	deadNodeReclaimTime = time.Second
)

// Config configures this gateway's membership.
type Config struct {
	Name          string
	Listen        string                            // address and port, for TCP and UDP
	Join          []string                          // addresses of other members; retried while none answers
	Relay         string                            // address that all traffic is sent through, for experiments; empty: none
	DeadRetention time.Duration                     // how long a failed member counts as a member; 0: an hour
	OnMessage     func(from string, message []byte) // is called on the library's goroutines and must not block
	Log           zerolog.Logger
}

// DuplicateNameError reports a second process under a name that is in use.
type DuplicateNameError struct{ Name, Address string }

func (e *DuplicateNameError) Error() string {
	return fmt.Sprintf("another process runs under the name %s at %s", e.Name, e.Address)
}

// Remedy returns what an operator can do.
func (e *DuplicateNameError) Remedy() string {
	return "give each gateway a name of its own (the key name, or EDGE_NAME), or end the process at that address"
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("fleet.listen: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *ListenError) Remedy() string {
	return "name an address of this machine whose TCP and UDP ports are both free"
}

// UnknownMemberError reports a member that is not alive or does not exist.
type UnknownMemberError struct{ Name string }

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("membership: %s is not a live member", e.Name)
}

// Members is the member list and message transport of this gateway. Its methods may be called from any goroutine.
type Members struct {
	conf  Config
	list  *memberlist.Memberlist
	made  atomic.Pointer[memberlist.Memberlist] // the list, for goroutines of the library that run before there is one
	queue *memberlist.TransmitLimitedQueue

	mu       sync.Mutex           // guards failedAt
	failedAt map[string]time.Time // when members failed, by name

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Open joins the fleet. It does not wait for other members. An address that can't be listened on gives a *ListenError.
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
		_ = inner.Shutdown() // the returned error is the cause
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
	m.made.Store(list)
}

// count is how many members are alive; the library asks for it while it starts, too.
func (m *Members) count() int {
	list := m.made.Load()
	if list == nil {
		return 1
	}
	return list.NumMembers()
}

// join contacts the configured addresses, with exponential backoff, whenever this gateway has no other member.
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

// Close leaves the fleet gracefully, so that the others no longer count this gateway as a member.
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

// Snapshot returns the members. Failed ones count as members, not alive, until DeadRetention has passed.
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

// Broadcast queues a message to all members. It replaces an earlier message with the same key that is still queued.
func (m *Members) Broadcast(key string, message []byte) {
	m.queue.QueueBroadcast(&keyedBroadcast{key, message})
}

// Send sends a message to one member over TCP, and waits for the connection. A member that is not alive gives an
// *UnknownMemberError.
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

// withSender prepends this gateway's name, with its length in one byte, to a message.
func (m *Members) withSender(message []byte) []byte {
	b := append([]byte{byte(len(m.conf.Name))}, m.conf.Name...)
	return append(b, message...)
}

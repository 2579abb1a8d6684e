// Package member keeps track of which gateways of a fleet are there, and carries what they tell one another. The failure
// detector and the spreading of messages are hashicorp/memberlist's (SWIM with Lifeguard's refinements); this package gives it
// a transport that can be led through a relay, and remembers those that are gone, since a majority is counted of all.
package membership

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"cloverrock/internal/agreement"
)

// Config describes this gateway's part.
type Config struct {
	Name   string
	Listen string   // TCP and UDP
	Join   []string // addresses of others; those that don't answer are asked again
	Relay  string   // where everything is sent first, if set: an experiment's links
	Forget time.Duration
	Heard  func(from string, b []byte) // called on the library's goroutines: it may not wait
	Log    zerolog.Logger
}

// DuplicateError is a second process under a name that is in use.
type DuplicateError struct{ Name, Address string }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("another process runs under the name %s at %s", e.Name, e.Address)
}

// Remedy says what an operator can do.
func (e *DuplicateError) Remedy() string {
	return "give each gateway a name of its own (the key name, or EDGE_NAME), or end the process at that address"
}

// ListenError is an address that can't be had.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("fleet.listen: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Remedy says what an operator can do.
func (e *ListenError) Remedy() string {
	return "name an address of this machine whose TCP and UDP ports are both free"
}

// Members is this gateway among the others.
type Members struct {
	conf  Config
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue

	mu   sync.Mutex
	gone map[string]time.Time // members that died, and when
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Open joins the fleet. It does not wait for the others.
func Open(conf Config) (*Members, error) {
	at, err := netip.ParseAddrPort(conf.Listen)
	if err != nil {
		return nil, &ListenError{conf.Listen, err}
	}
	if conf.Forget == 0 {
		conf.Forget = time.Hour
	}
	m := &Members{conf: conf, gone: map[string]time.Time{}}
	quiet := log.New(lines{conf.Log}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()}, BindPort: int(at.Port()), Logger: quiet})
	if err != nil {
		return nil, &ListenError{conf.Listen, err}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = conf.Name, at.Addr().String(), int(at.Port()), int(at.Port())
	c.Transport, c.Logger, c.LogOutput = &transport{NetTransport: inner, relay: conf.Relay}, quiet, nil
	c.Delegate, c.Events, c.Conflict = (*delegate)(m), (*events)(m), (*conflicts)(m)
	c.GossipInterval, c.ProbeInterval, c.ProbeTimeout = 100*time.Millisecond, 500*time.Millisecond, 250*time.Millisecond
	c.PushPullInterval = 30 * time.Second // membership; knowledge has rounds of its own
	c.DeadNodeReclaimTime = time.Second   // a gateway that starts again may have another address
	c.EnableCompression = false
	m.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: c.RetransmitMult, NumNodes: func() int {
		if m.list == nil {
			return 1
		}
		return m.list.NumMembers()
	}}
	if m.list, err = memberlist.Create(c); err != nil {
		_ = inner.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.wg.Go(func() { m.join(ctx) })
	return m, nil
}

// join asks the others until one has answered, and again later while this gateway sees nobody.
func (m *Members) join(ctx context.Context) {
	for wait := 100 * time.Millisecond; ; wait = min(2*wait, 5*time.Second) {
		if m.list.NumMembers() < 2 && len(m.conf.Join) > 0 {
			if n, err := m.list.Join(m.conf.Join); n == 0 && err != nil {
				m.conf.Log.Debug().Err(err).Msg("fleet: nobody of join answers yet")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Close leaves the fleet in order: the others do not count this gateway any more.
func (m *Members) Close() {
	m.stop()
	m.wg.Wait()
	_ = m.list.Leave(200 * time.Millisecond)
	_ = m.list.Shutdown()
}

// Roll is who belongs to the fleet. Those that died stay on it for the time after which they are forgotten.
func (m *Members) Roll() agreement.Members {
	roll := agreement.Members{}
	for _, n := range m.list.Members() {
		roll[n.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, at := range m.gone {
		if time.Since(at) > m.conf.Forget {
			delete(m.gone, name)
		} else if !roll[name] {
			roll[name] = false
		}
	}
	return roll
}

// Tell spreads a message to all; of two with one key the later one stands for both.
func (m *Members) Tell(key string, b []byte) { m.queue.QueueBroadcast(&news{key, b}) }

// Send sends a message to one member, reliably; it may take some time.
func (m *Members) Send(name string, b []byte) error {
	for _, n := range m.list.Members() {
		if n.Name == name {
			if err := m.list.SendReliable(n, m.wrap(b)); err != nil {
				return fmt.Errorf("member: to %s: %w", name, err)
			}
			return nil
		}
	}
	return fmt.Errorf("member: %s is not there", name)
}

// Waiting is how many messages have yet to be spread.
func (m *Members) Waiting() int { return m.queue.NumQueued() }

// wrap puts the sender's name before a message.
func (m *Members) wrap(b []byte) []byte {
	return append(append([]byte{byte(len(m.conf.Name))}, m.conf.Name...), b...)
}

// news is a message that is being spread.
type news struct {
	key string
	b   []byte
}

// Invalidates implements memberlist.Broadcast.
func (n *news) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*news)
	return ok && other.key == n.key
}

// Message implements memberlist.Broadcast.
func (n *news) Message() []byte { return n.b }

// Finished implements memberlist.Broadcast.
func (n *news) Finished() {}

// delegate is what the library asks of this package.
type delegate Members

func (d *delegate) NodeMeta(int) []byte { return nil }

func (d *delegate) NotifyMsg(b []byte) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return
	}
	n := 1 + int(b[0])
	d.conf.Heard(string(b[1:n]), append([]byte(nil), b[n:]...))
}

func (d *delegate) GetBroadcasts(overhead, limit int) (out [][]byte) {
	m := (*Members)(d)
	head := 1 + len(m.conf.Name)
	for _, b := range m.queue.GetBroadcasts(overhead+head, limit) {
		out = append(out, m.wrap(b))
	}
	return out
}

func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}

// events notes who is gone.
type events Members

func (e *events) NotifyJoin(n *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.gone, n.Name)
}

func (e *events) NotifyLeave(n *memberlist.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.State == memberlist.StateLeft {
		delete(e.gone, n.Name)
		return
	}
	e.gone[n.Name] = time.Now()
}

func (e *events) NotifyUpdate(*memberlist.Node) {}

// conflicts hears of two processes under one name.
type conflicts Members

func (c *conflicts) NotifyConflict(_, other *memberlist.Node) {
	err := &DuplicateError{other.Name, other.Address()}
	c.conf.Log.Error().Err(err).Str("remedy", err.Remedy()).Msg("fleet: a name is used twice")
}

// lines passes the library's log on, at debug level: what an operator should know is said by this package.
type lines struct{ log zerolog.Logger }

func (l lines) Write(b []byte) (int, error) {
	l.log.Debug().Str("library", "memberlist").Msg(string(b))
	return len(b), nil
}

// transport sends everything to a relay first, if there is one: the address of the receiver goes before it.
type transport struct {
	*memberlist.NetTransport
	relay string
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	if t.relay == "" {
		return t.NetTransport.WriteTo(b, addr)
	}
	return t.NetTransport.WriteTo(append(append([]byte{byte(len(addr))}, addr...), b...), t.relay)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	if t.relay == "" {
		return t.NetTransport.DialTimeout(addr, timeout)
	}
	c, err := t.NetTransport.DialTimeout(t.relay, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, addr+"\n"); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// WriteToAddress and DialAddressTimeout stand before the library's own, which would pass the relay by.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

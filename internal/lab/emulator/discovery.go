package emulator

import (
	"fmt"
	"net"
	"sync"
)

// Discovery emulates the discovery service. It sends to each watch the endpoint list that was published last, and every
// list that is published later.
type Discovery struct {
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	watches []net.Conn
	list    string // JSON; empty before the first publication
	silent  bool   // new watches get no response
}

// NewDiscovery starts a discovery service on a loopback address.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener}
	d.wait.Go(d.accept)
	return d, nil
}

func (d *Discovery) accept() {
	for {
		watch, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.startWatch(watch)
	}
}

func (d *Discovery) startWatch(watch net.Conn) {
	const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches = append(d.watches, watch)
	if d.silent {
		return
	}
	_, _ = fmt.Fprint(watch, responseHead) // fails if the client has closed the watch
	d.send(watch)
}

func (d *Discovery) send(watch net.Conn) {
	if d.list == "" {
		return
	}
	_, _ = fmt.Fprintf(watch, "%x\r\n%s\n\r\n", len(d.list)+1, d.list) // as in startWatch
}

// Publish sends a list, as JSON, to all present and future watches.
func (d *Discovery) Publish(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	for _, watch := range d.watches {
		d.send(watch)
	}
}

// Silence stops responses to new watches, whose connections are still accepted. Open watches still get published lists.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
}

// Address returns the address on which the service listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close stops the service and closes its connections.
func (d *Discovery) Close() {
	_ = d.listener.Close() // the listener is not used again, whether or not this fails
	d.wait.Wait()
	for _, watch := range d.watches {
		_ = watch.Close() // the connection is not used again, whether or not this fails
	}
}

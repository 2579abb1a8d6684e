package processrig

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// post carries what gateways say to one another of what they decide: each sends everything to a door of its own, with the
// receiver's address before it. A letter goes on unless the two are cut off from each other.
type post struct {
	numbers map[string]int // by the address at which a gateway listens
	cut     func(from, to int) bool
	lossy   bool // one datagram in five is lost
	bytes   atomic.Int64
	udp     []*net.UDPConn
	tcp     []net.Listener
	mu      sync.Mutex
	open    map[net.Conn]struct{}
	wg      sync.WaitGroup
}

func newPost(listen []string, lossy bool, cut func(from, to int) bool) (*post, error) {
	p := &post{numbers: map[string]int{}, cut: cut, lossy: lossy, open: map[net.Conn]struct{}{}}
	for i, at := range listen {
		p.numbers[at] = i
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			p.close()
			return nil, err
		}
		p.tcp = append(p.tcp, ln)
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ln.Addr().(*net.TCPAddr).Port})
		if err != nil {
			p.close()
			return nil, err
		}
		p.udp = append(p.udp, u)
		p.wg.Go(func() { p.datagrams(i, u) })
		p.wg.Go(func() { p.streams(i, ln) })
	}
	return p, nil
}

func (p *post) door(i int) string { return p.tcp[i].Addr().String() }

func (p *post) datagrams(from int, u *net.UDPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := u.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n == 0 || n < 1+int(buf[0]) {
			continue
		}
		at := string(buf[1 : 1+int(buf[0])])
		to, known := p.numbers[at]
		addr, err := net.ResolveUDPAddr("udp4", at)
		if err != nil || !known || p.cut(from, to) || p.lossy && rand.IntN(5) == 0 {
			continue
		}
		p.bytes.Add(int64(n))
		_, _ = u.WriteToUDP(buf[1+int(buf[0]):n], addr)
	}
}

func (p *post) streams(from int, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.stream(from, c) })
	}
}

func (p *post) stream(from int, c net.Conn) {
	defer p.hold(c)()
	rd := bufio.NewReader(c)
	at, err := rd.ReadString('\n')
	at = strings.TrimSpace(at)
	to, known := p.numbers[at]
	if err != nil || !known || p.cut(from, to) {
		return
	}
	o, err := net.Dial("tcp4", at)
	if err != nil {
		return
	}
	defer p.hold(o)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, _ := io.Copy(o, rd)
		p.bytes.Add(n)
		_ = o.(*net.TCPConn).CloseWrite()
	}()
	n, _ := io.Copy(c, o)
	p.bytes.Add(n)
	_ = c.Close()
	<-done
}

// hold has the connection closed at the end of the run, and returns what closes it now.
func (p *post) hold(c net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, c)
	}
}

func (p *post) close() {
	for _, u := range p.udp {
		_ = u.Close()
	}
	for _, ln := range p.tcp {
		_ = ln.Close()
	}
	p.mu.Lock()
	for c := range p.open {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

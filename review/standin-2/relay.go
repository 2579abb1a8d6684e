package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay carries connections to an address. While it is cut, open connections stay open and silent, and new ones get no
// answer. When the cut ends, these are reset, as the protocol page describes it.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool // true: it has met a cut
}

func newRelay(to string) (*relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.carry(c)
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) add(c net.Conn) (cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = r.isCut
	return r.isCut
}

func (r *relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) cut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCut
}

// setCut begins or ends a cut.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = cut
	for c := range r.conns {
		if cut {
			r.conns[c] = true
		} else if r.conns[c] {
			reset(c)
			delete(r.conns, c)
		}
	}
}

func (r *relay) carry(c net.Conn) {
	defer r.remove(c)
	if r.add(c) {
		time.Sleep(2 * time.Minute) // until setCut resets the connection
		return
	}
	onward, err := net.DialTimeout("tcp4", r.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	defer r.remove(onward)
	r.add(onward)
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for r.cut() {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if err != io.EOF {
					reset(to)
				}
				return
			}
		}
	}
	go pass(c, onward)
	go pass(onward, c)
	<-done
}

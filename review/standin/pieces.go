package main

import (
	"net"
	"sync"
	"time"
)

// pieceConn is a host's connection over a network that delivers what the host sends in pieces, one for each write: each
// arrives at least gap after the one before it.
type pieceConn struct {
	net.Conn
	gap    time.Duration
	pieces chan []byte
	closed chan struct{}
	once   sync.Once
}

const maxPieces = 64 // on the way

func inPieces(conn net.Conn, gap time.Duration) net.Conn {
	p := &pieceConn{Conn: conn, gap: gap, pieces: make(chan []byte, maxPieces), closed: make(chan struct{})}
	go p.deliver()
	return p
}

// Write returns at once: the host does not wait for the network.
func (p *pieceConn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	select {
	case p.pieces <- append([]byte(nil), b...):
		return len(b), nil
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

// Close lets the pieces on the way arrive before the end.
func (p *pieceConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pieceConn) deliver() {
	defer func() { _ = p.Conn.Close() }()
	last := time.Time{}
	write := func(b []byte) bool {
		time.Sleep(time.Until(last.Add(p.gap)))
		_, err := p.Conn.Write(b)
		last = time.Now()
		return err == nil
	}
	for {
		select {
		case b := <-p.pieces:
			if !write(b) {
				return
			}
		case <-p.closed:
			for len(p.pieces) > 0 {
				if !write(<-p.pieces) {
					return
				}
			}
			return
		}
	}
}

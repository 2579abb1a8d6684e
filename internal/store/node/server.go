package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
	"cloverrock/internal/store/transport"
)

const (
	maxConnections  = 128             // concurrent connections of instances and clients together
	maxClients      = 96              // of these, connections of clients
	helloTimeout    = 3 * time.Second // for the handshake and the hello
	peerIdleTimeout = 2 * time.Minute // a peer's connection that carries no message for this long is closed
	acceptRetry     = 100 * time.Millisecond
	maxPeerMessages = 256      // messages of one peer's connection that the owner has not processed yet
	maxHello        = 4 << 10  // bytes
	readBuffer      = 32 << 10 // bytes
	welcomeFormat   = 1        // format version of the Welcome
)

// accept accepts and serves connections until the instance stops. It closes connections beyond maxConnections at once.
func (n *Node) accept() {
	log := n.connectionLog()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			log.Warn().Err(err).Msg("store: accept failed")
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(acceptRetry): // file descriptors may have run out
			}
			continue
		}
		if n.connections.Add(1) > maxConnections {
			n.connections.Add(-1)
			_ = conn.Close() // no data was exchanged yet
			continue
		}
		n.wg.Go(func() {
			defer n.connections.Add(-1)
			defer closeWith(n.ctx, conn)()
			if err := n.serveConnection(conn); err != nil && n.ctx.Err() == nil {
				log.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("store: connection closed with an error")
			}
		})
	}
}

// closeWith closes a connection when the context ends or the returned function is called. Errors of Close are ignored:
// both ends detect a lost message by other means.
func closeWith(ctx context.Context, conn net.Conn) func() {
	closeConn := func() { _ = conn.Close() }
	stop := context.AfterFunc(ctx, closeConn)
	return func() {
		stop()
		closeConn()
	}
}

// serveConnection performs the TLS handshake and the exchange of Hello and Welcome, and then serves the connection as
// that of a peer or a client.
func (n *Node) serveConnection(raw net.Conn) error {
	conn := tls.Server(raw, n.conf.TLS)
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if err := conn.HandshakeContext(n.ctx); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	owner, role, err := pki.Owner(conn.ConnectionState())
	if err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, readBuffer)
	hello, err := readHello(reader)
	if err != nil {
		return err
	}
	if !hello.Peer {
		defer n.clients.Add(-1)
		n.clients.Add(1)
	}
	if err := n.answerHello(conn, hello, owner, role); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if hello.Peer {
		n.transport.AddMember(transport.Member{ID: hello.ID, Name: owner, Address: hello.Address})
		return n.receiveFromPeer(conn, reader, hello.ID)
	}
	return n.serveClient(conn, reader, owner, role)
}

func readHello(reader *bufio.Reader) (*frame.Hello, error) {
	kind, body, err := frame.Read(reader, nil, maxHello)
	if err != nil || kind != frame.HelloKind {
		return nil, fmt.Errorf("no hello received: %w", errors.Join(err, frame.ErrTooLong))
	}
	hello := &frame.Hello{}
	return hello, frame.DecodeValue(body, hello)
}

// answerHello sends the Welcome for a Hello. It returns an error if the peer or client is refused.
func (n *Node) answerHello(conn net.Conn, hello *frame.Hello, owner string, role pki.Role) error {
	view := n.view.Load()
	welcome := frame.Welcome{Format: welcomeFormat, Cluster: view.cluster, Name: n.conf.Name}
	if hello.Peer {
		if err := view.checkPeer(hello, owner, role); err != nil {
			welcome.Error = err.Error()
			welcome.Final = errors.Is(err, transport.ErrRemoved)
		}
	} else if n.clients.Load() > maxClients {
		welcome.Error = "store: this instance has too many clients"
	}
	if err := frame.Write(conn, frame.WelcomeKind, &welcome); err != nil {
		return err
	}
	if welcome.Error != "" {
		return fmt.Errorf("%s (%016x) was refused: %s", owner, hello.ID, welcome.Error)
	}
	return nil
}

// checkPeer returns an error if an instance may not send messages here; the error wraps transport.ErrRemoved if no retry
// can succeed. An id without a member record is accepted only while this instance has no records at all, which is the
// case until a new instance has received its first snapshot.
func (v *clusterView) checkPeer(hello *frame.Hello, owner string, role pki.Role) error {
	switch {
	case role != pki.Instance:
		return fmt.Errorf("the certificate of %s is not that of an instance", owner)
	case hello.Cluster != v.cluster:
		return fmt.Errorf("%w: the peer belongs to cluster %016x, the instance that it dialed to %016x", transport.ErrRemoved, hello.Cluster, v.cluster)
	case v.removed[hello.ID]:
		return fmt.Errorf("%w: %016x was removed", transport.ErrRemoved, hello.ID)
	}
	member, recorded := v.members[hello.ID]
	if recorded && member.Name != owner {
		return fmt.Errorf("the id %016x belongs to member %s, but the certificate to %s", hello.ID, member.Name, owner)
	}
	if !recorded && len(v.members) > 0 {
		return fmt.Errorf("the instance that was dialed has no member record with the id %016x yet", hello.ID)
	}
	return nil
}

// peerMessage is a message that waits for the owner. It takes one of the places of its connection, which the owner
// frees by receiving from the channel.
type peerMessage struct {
	core.Envelope
	places <-chan struct{}
}

// receiveFromPeer passes a peer's messages to the owner until the connection ends.
func (n *Node) receiveFromPeer(conn net.Conn, reader *bufio.Reader, from uint64) error {
	var buffer []byte
	places := make(chan struct{}, maxPeerMessages)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
			return err
		}
		kind, body, err := frame.Read(reader, buffer, frame.MaxSize)
		if err != nil {
			return protocolError(err)
		}
		buffer = body
		message, known, err := frame.DecodeEnvelope(kind, body, from, n.store.Identity.Node)
		if err != nil {
			return err
		}
		if !known {
			continue
		}
		if n.view.Load().removed[from] {
			return transport.ErrRemoved
		}
		if !n.deliver(message, places) {
			return nil
		}
	}
}

// deliver passes a message to the owner, after waiting for one of the places of its connection. It reports false if the
// instance is stopping.
func (n *Node) deliver(message core.Envelope, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
	case <-n.stop:
		return false
	}
	select {
	case n.inbox <- peerMessage{message, places}:
		return true
	case <-n.stop:
		return false
	}
}

// protocolError returns the error of a read only if the remote end violated the protocol. The end of a connection is not
// an error.
func protocolError(err error) error {
	if errors.Is(err, frame.ErrTooLong) {
		return err
	}
	return nil
}

package node

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
	"cloverrock/internal/store/transport"
)

// expectRefused dials the first instance, which must refuse the connection.
func (cl *cluster) expectRefused(who string, conf *tls.Config, hello frame.Hello) {
	cl.t.Helper()
	conn, _, err := transport.Dial(cl.ctx, cl.confs[0].Listen, conf, hello, "")
	if err == nil {
		cl.must(conn.Close())
		cl.t.Errorf("%s was accepted", who)
	}
}

// sendGarbage sends invalid bytes before and after the handshake, and waits until the connections are closed.
func (cl *cluster) sendGarbage() {
	cl.t.Helper()
	at := cl.confs[0].Listen
	garbage, err := net.Dial("tcp", at)
	cl.must(err)
	_, _ = garbage.Write([]byte(strings.Repeat("\xff\x00garbage", 5000)))
	_, _ = io.Copy(io.Discard, garbage) // returns when the connection is closed
	long, _, err := transport.Dial(cl.ctx, at, cl.tls("operator"), frame.Hello{}, "")
	cl.must(err)
	_, _ = long.Write([]byte{0xff, 0xff, 0xff, 0xff, 'q'})
	if _, err := io.Copy(io.Discard, long); err != nil && !errors.Is(err, io.EOF) {
		cl.t.Logf("the connection with a huge length ended with %v", err)
	}
}

// A peer or client without valid credentials is refused, and the instance releases its connection.
func TestUnauthorizedConnectionsAreRefusedAndReleased(t *testing.T) {
	cl := startCluster(t, 1)
	c := cl.client("operator")
	cl.put(c, "k", "v")
	other := t.TempDir()
	cl.must(pki.CreateAuthority(other, "other", time.Now(), time.Hour))
	cl.must(pki.Issue(other, "n0", pki.Instance, time.Now(), time.Hour))
	cl.must(pki.Issue(cl.dir, "late", pki.Operator, time.Now().Add(-48*time.Hour), time.Hour))
	cl.must(pki.Issue(cl.dir, "nobody", pki.Role("guest"), time.Now(), time.Hour))
	noCertificate := cl.tls("operator")
	noCertificate.Certificates = nil
	for who, conf := range map[string]*tls.Config{
		"another authority":  cl.tlsFrom(other, "n0"),
		"an old certificate": cl.tls("late"),
		"no role":            cl.tls("nobody"),
		"no certificate":     noCertificate,
	} {
		cl.expectRefused(who, conf, frame.Hello{})
	}
	for who, hello := range map[string]frame.Hello{
		"another cluster": {Peer: true, Cluster: 5, ID: firstNodeID},
		"an unknown id":   {Peer: true, Cluster: testClusterID, ID: 999},
	} {
		cl.expectRefused(who, cl.tls("n0"), hello)
	}
	cl.expectRefused("an operator as an instance", cl.tls("operator"), frame.Hello{Peer: true, Cluster: testClusterID, ID: firstNodeID})
	cl.sendGarbage()
	c.Close()
	cl.waitUntil("all connections are released", func() bool { return cl.nodes[0].connections.Load() <= 1 })
	cl.put(cl.client("operator"), "k", "after")
}

// Clients that opened connections without end took the places of instances, which could not reconnect.
func TestClientsLeavePlacesForInstances(t *testing.T) {
	cl := startCluster(t, 1)
	accepted := 0
	for range maxConnections {
		conn, _, err := transport.Dial(cl.ctx, cl.confs[0].Listen, cl.tls("operator"), frame.Hello{}, "")
		if err == nil {
			accepted++
			t.Cleanup(func() { _ = conn.Close() }) // the instance may have stopped
		}
	}
	if accepted != maxClients {
		t.Errorf("%d connections of clients were accepted, want %d", accepted, maxClients)
	}
	hello := frame.Hello{Peer: true, Cluster: testClusterID, ID: firstNodeID, Address: cl.confs[0].Listen}
	conn, _, err := transport.Dial(cl.ctx, cl.confs[0].Listen, cl.tls("n0"), hello, "")
	cl.must(err)
	cl.must(conn.Close())
}

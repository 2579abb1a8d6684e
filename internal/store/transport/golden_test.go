package transport

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
)

// The first frames of a connection, and the first message after them.
const (
	goldenHello   = "0000002f6885a166cc01a170c3a163cf000000000000004da169cf000000000000000ba161ae3132372e302e302e313a37303031"
	goldenWelcome = "000000147783a166cc01a163cf000000000000004da16ea162"
	goldenAck     = "000000116782a169cf0000000000000003a16fcd012c"
)

// acceptOne serves one connection as instance b. It reports the first frame, and then the first one after the welcome.
func acceptOne(t *testing.T, dir string) (address string, received chan string) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", loadTLS(t, dir, "b"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	received = make(chan string, 2)
	welcome, err := hex.DecodeString(goldenWelcome)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(received)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		for range 2 {
			kind, body, err := frame.Read(c, nil, frame.MaxSize)
			if err != nil {
				return
			}
			received <- hex.EncodeToString(frame.Append(nil, kind, body))
			if _, err := c.Write(welcome); err != nil {
				return
			}
		}
	}()
	return ln.Addr().String(), received
}

func loadTLS(t *testing.T, dir, name string) *tls.Config {
	t.Helper()
	conf, err := pki.LoadTLS(pki.Files{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"), Authority: filepath.Join(dir, "authority.pem")})
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// The bytes that an instance sends to another must not change: its first frame, and what it sends after the welcome. It
// must also decode the golden welcome. The test creates the certificates.
func TestConnectionBeginsWithTheSameBytes(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	if err := errors.Join(pki.CreateAuthority(dir, "test", now, time.Hour), pki.Issue(dir, "a", pki.Instance, now, time.Hour), pki.Issue(dir, "b", pki.Instance, now, time.Hour)); err != nil {
		t.Fatal(err)
	}
	hello := frame.Hello{Peer: true, Cluster: 77, ID: 11, Address: "127.0.0.1:7001"}
	expect := func(received chan string, want string) {
		t.Helper()
		select {
		case got := <-received:
			if got != want {
				t.Errorf("received %s, want %s", got, want)
			}
		case <-time.After(time.Minute):
			t.Fatal("no frame received")
		}
	}
	address, received := acceptOne(t, dir)
	var c net.Conn
	c, welcome, err := Dial(context.Background(), address, loadTLS(t, dir, "a"), hello, "b")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	expect(received, goldenHello)
	if *welcome != (frame.Welcome{Format: 1, Cluster: 77, Name: "b"}) {
		t.Errorf("the welcome is read as %+v", *welcome)
	}

	address, received = acceptOne(t, dir)
	peers := New(Config{TLS: loadTLS(t, dir, "a"), Hello: hello})
	defer peers.Close()
	peers.AddMember(Member{ID: 12, Name: "b", Address: address})
	peers.Send([]core.Envelope{{From: 11, To: 12, Ack: &core.ChunkAck{Index: 3, Offset: 300}}})
	expect(received, goldenHello)
	expect(received, goldenAck)
}

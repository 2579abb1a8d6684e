package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// sidecar is one address of the network. Discovery gives each gateway addresses of its own, so an address leads each
// gateway to a host of its own. Which gateway dials is seen from the process that holds the socket.
type sidecar struct {
	rec      *record
	listener net.Listener
	address  string
	routes   map[string]*host          // by the name of the gateway
	dialer   func(inode string) string // the name of the gateway that holds a socket; empty: none
}

func (s *sidecar) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = listener
	s.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.forward(conn)
		}
	}()
	return nil
}

func (s *sidecar) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	name := s.dialer(socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)))
	to := s.routes[name]
	if to == nil {
		s.rec.line("network: %s: no route for the dialer %q", s.address, name)
		return
	}
	s.rec.line("network: gateway %s dials %s, which leads it to %s", name, s.address, to.id)
	host, err := net.Dial("tcp4", to.address)
	if err != nil {
		return
	}
	defer func() { _ = host.Close() }()
	go func() {
		_, _ = io.Copy(host, conn)
		_ = host.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(conn, host)
}

// socketInode returns the inode of the socket with a local and a remote address.
func socketInode(local, remote *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	want := [2]string{procAddress(local), procAddress(remote)}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want[0] && fields[2] == want[1] {
			return fields[9]
		}
	}
	return ""
}

func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// holdsSocket reports whether a process holds the socket with an inode.
func holdsSocket(pid int, inode string) bool {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		if to, err := os.Readlink(link); err == nil && inode != "" && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

// testTimeout ends a test that hangs. The result of a test does not depend on how long anything takes.
const testTimeout = 60 * time.Second

const (
	testClusterID = 77
	firstNodeID   = 10 // of instance n0; the other instances have the ids after it
)

// cluster is a store whose instances run in this process.
type cluster struct {
	t     testing.TB
	dir   string // certificates and data directories
	ctx   context.Context
	confs []Config
	nodes []*Node
	ids   []uint64
}

func startCluster(tb testing.TB, instances int, changes ...func(*Config)) *cluster {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	tb.Cleanup(cancel)
	cl := &cluster{t: tb, dir: tb.TempDir(), ctx: ctx}
	cl.must(pki.CreateAuthority(cl.dir, "test", time.Now(), time.Hour))
	cl.must(pki.Issue(cl.dir, "operator", pki.Operator, time.Now(), time.Hour))
	var voters []uint64
	var records []machine.Op
	for i := range instances {
		cl.addInstance(changes...)
		voters = append(voters, cl.ids[i])
		member := core.Member{Name: cl.confs[i].Name, Address: cl.confs[i].Listen, Format: machine.Format}
		record, err := core.MemberOp(cl.ids[i], member)
		cl.must(err)
		records = append(records, record)
	}
	first, err := core.InitialSnapshot(voters, records)
	cl.must(err)
	for i := range instances {
		cl.createDirectory(i, 1, first)
		cl.openNode(i)
	}
	return cl
}

func (cl *cluster) must(err error) {
	cl.t.Helper()
	if err != nil {
		cl.t.Fatal(err)
	}
}

// addInstance creates the certificate and configuration of another instance, which is not a member yet.
func (cl *cluster) addInstance(changes ...func(*Config)) int {
	cl.t.Helper()
	i := len(cl.confs)
	name := fmt.Sprint("n", i)
	cl.must(pki.Issue(cl.dir, name, pki.Instance, time.Now(), time.Hour))
	free, err := loopback.Reserve(1)
	cl.must(err)
	conf := Config{
		Name:   name,
		Data:   filepath.Join(cl.dir, name+"-data"),
		Listen: free[0],
		TLS:    cl.tls(name),
		Tick:   10 * time.Millisecond,
		Log:    zerolog.New(zerolog.NewTestWriter(cl.t)).Level(zerolog.ErrorLevel),
	}
	for _, f := range changes {
		f(&conf)
	}
	cl.confs = append(cl.confs, conf)
	cl.nodes = append(cl.nodes, nil)
	cl.ids = append(cl.ids, firstNodeID+uint64(i))
	return i
}

func (cl *cluster) tls(name string) *tls.Config {
	cl.t.Helper()
	return cl.tlsFrom(cl.dir, name)
}

// tlsFrom loads a certificate, possibly of another authority, and trusts this store's authority for peers.
func (cl *cluster) tlsFrom(dir, name string) *tls.Config {
	cl.t.Helper()
	conf, err := pki.LoadTLS(pki.Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
		Authority:   filepath.Join(cl.dir, "authority.pem"),
	})
	cl.must(err)
	return conf
}

func (cl *cluster) createDirectory(i int, index uint64, first []byte) {
	cl.t.Helper()
	dir, err := disk.OpenDir(cl.confs[i].Data)
	cl.must(err)
	identity := disk.Identity{Cluster: testClusterID, Node: cl.ids[i], Name: cl.confs[i].Name}
	cl.must(disk.Create(dir, identity, index, first, disk.Options{}))
	cl.must(dir.Close())
}

func (cl *cluster) openNode(i int) *Node {
	cl.t.Helper()
	n, err := Open(cl.confs[i])
	cl.must(err)
	cl.nodes[i] = n
	cl.t.Cleanup(n.kill)
	return n
}

// kill stops an instance without transferring leadership.
func (n *Node) kill() {
	n.signalStop()
	<-n.ended
}

// client returns a client that uses the certificate of a name and calls the given instances, or all if none are given.
func (cl *cluster) client(name string, to ...int) *client.Client {
	cl.t.Helper()
	conf := client.Config{TLS: cl.tls(name)}
	for i := range cl.confs {
		if len(to) == 0 {
			conf.Endpoints = append(conf.Endpoints, cl.confs[i].Listen)
		}
	}
	for _, i := range to {
		conf.Endpoints = append(conf.Endpoints, cl.confs[i].Listen)
	}
	c := client.New(conf)
	cl.t.Cleanup(c.Close)
	return c
}

// waitUntil polls a condition until it holds.
func (cl *cluster) waitUntil(what string, holds func() bool) {
	cl.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-cl.ctx.Done():
			for _, n := range cl.nodes { // with context.Background, because cl.ctx has ended
				if n != nil {
					status, err := n.Status(context.Background())
					cl.t.Logf("%+v, %v", status, err)
				}
			}
			cl.t.Fatalf("not reached in time: %s", what)
		}
	}
}

func (cl *cluster) put(c *client.Client, key, value string) {
	cl.t.Helper()
	_, err := c.Transact(cl.ctx, putCommand("n", key, value))
	cl.must(err)
}

func putCommand(ns, key, value string) machine.Command {
	put := machine.Op{Kind: machine.Put, NS: ns, Key: key, Value: []byte(value)}
	return machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}}
}

// leader waits until an instance reports itself as the leader, and returns its number.
func (cl *cluster) leader() (i int) {
	cl.t.Helper()
	cl.waitUntil("a leader", func() bool {
		for i = range cl.nodes {
			if n := cl.nodes[i]; n != nil && n.view.Load().leader == cl.ids[i] {
				return true
			}
		}
		return false
	})
	return i
}

// refused reports whether an error is a refusal by the store.
func refused(err error) bool {
	var storeError *client.Error
	return errors.As(err, &storeError) && storeError.Code == frame.CodeRefused
}

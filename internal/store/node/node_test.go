package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/lab/loopback"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
	"cloverrock/internal/store/transport"
)

// limit ends a test that hangs; no verdict depends on how soon anything happens.
const limit = 60 * time.Second

// rig is a store whose instances run in this process.
type rig struct {
	t       testing.TB
	dir     string
	ctx     context.Context
	confs   []Config
	nodes   []*Node
	ids     []uint64
	cluster uint64
}

func newRig(t testing.TB, instances int, change ...func(*Config)) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	r := &rig{t: t, dir: t.TempDir(), ctx: ctx, cluster: 77}
	r.ok(pki.Found(r.dir, "test", time.Now(), time.Hour))
	r.ok(pki.Issue(r.dir, "operator", pki.Operator, time.Now(), time.Hour))
	var voters []uint64
	var records []machine.Op
	for i := range instances {
		r.add(change...)
		voters = append(voters, r.ids[i])
		op, err := core.MemberOp(r.ids[i], core.Member{Name: r.confs[i].Name, Address: r.confs[i].Listen, Format: machine.Format})
		r.ok(err)
		records = append(records, op)
	}
	first, err := core.InitialSnapshot(voters, records)
	r.ok(err)
	for i := range instances {
		r.create(i, 1, first)
		r.open(i)
	}
	return r
}

func (r *rig) ok(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// add prepares another instance, which is not in the store yet.
func (r *rig) add(change ...func(*Config)) int {
	r.t.Helper()
	i := len(r.confs)
	name := fmt.Sprint("n", i)
	r.ok(pki.Issue(r.dir, name, pki.Instance, time.Now(), time.Hour))
	free, err := loopback.Reserve(1)
	r.ok(err)
	conf := Config{Name: name, Data: filepath.Join(r.dir, name+"-data"), Listen: free[0], TLS: r.tls(name), Tick: 10 * time.Millisecond,
		Log: zerolog.New(zerolog.NewTestWriter(r.t)).Level(zerolog.ErrorLevel)}
	for _, f := range change {
		f(&conf)
	}
	r.confs, r.nodes, r.ids = append(r.confs, conf), append(r.nodes, nil), append(r.ids, uint64(10+i))
	return i
}

func (r *rig) tls(name string) *tls.Config {
	r.t.Helper()
	conf, err := pki.Load(pki.Files{Certificate: filepath.Join(r.dir, name+".pem"), Key: filepath.Join(r.dir, name+"-key.pem"), Authority: filepath.Join(r.dir, "authority.pem")})
	r.ok(err)
	return conf
}

func (r *rig) create(i int, index uint64, first []byte) {
	r.t.Helper()
	dir, err := disk.OpenDir(r.confs[i].Data)
	r.ok(err)
	defer dir.Close()
	r.ok(disk.Create(dir, disk.Identity{Cluster: r.cluster, Node: r.ids[i], Name: r.confs[i].Name}, index, first, disk.Options{}))
}

func (r *rig) open(i int) *Node {
	r.t.Helper()
	n, err := Open(r.confs[i])
	r.ok(err)
	r.nodes[i] = n
	r.t.Cleanup(func() { n.once.Do(func() { close(n.stop) }); <-n.ended })
	return n
}

// client calls as a name; to some instances, or to all.
func (r *rig) client(name string, to ...int) *client.Client {
	r.t.Helper()
	conf := client.Config{TLS: r.tls(name)}
	for i := range r.confs {
		if len(to) == 0 {
			conf.Endpoints = append(conf.Endpoints, r.confs[i].Listen)
		}
	}
	for _, i := range to {
		conf.Endpoints = append(conf.Endpoints, r.confs[i].Listen)
	}
	c := client.New(conf)
	r.t.Cleanup(c.Close)
	return c
}

// until looks again and again until something is so.
func (r *rig) until(what string, is func() bool) {
	r.t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !is() {
		select {
		case <-tick.C:
		case <-r.ctx.Done():
			for _, n := range r.nodes { // the context has ended; they have not
				if n != nil {
					st, err := n.Status(context.Background())
					r.t.Logf("%+v, %v", st, err)
				}
			}
			r.t.Fatalf("never: %s", what)
		}
	}
}

func (r *rig) put(c *client.Client, key, value string) {
	r.t.Helper()
	_, err := c.Txn(r.ctx, machine.Command{Kind: machine.TxnKind, Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: key, Value: []byte(value)}}})
	r.ok(err)
}

func (r *rig) leader() (i int) {
	r.t.Helper()
	r.until("a leader", func() bool {
		for i = range r.nodes {
			if n := r.nodes[i]; n != nil && n.view.Load().Leader == r.ids[i] {
				return true
			}
		}
		return false
	})
	return i
}

func TestInstancesAgreeAndComeBack(t *testing.T) {
	r := newRig(t, 3)
	c := r.client("operator")
	for i := range 20 {
		r.put(c, fmt.Sprint(i), "v")
	}
	l := r.leader()
	r.ok(r.nodes[l].Close()) // a planned stop hands over first
	r.put(c, "after", "v")
	r.open(l)
	for i := range r.nodes {
		kv, found, _, err := r.client("operator", i).Get(r.ctx, "n", "after", false)
		if err != nil || !found || string(kv.Value) != "v" {
			t.Errorf("n%d: %v, %t, %v", i, kv, found, err)
		}
	}
}

// Without the others an instance goes on telling what it has, with its age, and agrees to nothing by itself.
func TestCutOffInstanceTellsWhatItHas(t *testing.T) {
	r := newRig(t, 3)
	c := r.client("operator")
	r.put(c, "k", "v")
	// Cut off before its first question was answered it would never know an age, and say so.
	r.until("n0 has it, and knows its age", func() bool {
		found := false
		age, err := r.nodes[0].Read(r.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		return err == nil && found && age >= 0
	})
	for _, i := range []int{1, 2} {
		r.nodes[i].once.Do(func() { close(r.nodes[i].stop) })
		<-r.nodes[i].ended
	}
	ages := []time.Duration{}
	r.until("its state is known to be old", func() bool {
		found := false
		age, err := r.nodes[0].Read(r.ctx, true, func(m *machine.Machine) { _, found = m.Get("n", "k") })
		if err != nil || !found {
			t.Fatalf("found %t, %v", found, err)
		}
		ages = append(ages, age)
		return age > 500*time.Millisecond
	})
	if _, err := r.nodes[0].Propose(r.ctx, &machine.Command{Kind: machine.OpenKind}); !errors.Is(err, core.ErrNoLeader) && !errors.Is(err, core.ErrOutcomeUnknown) {
		t.Errorf("a write without a quorum: %v", err)
	}
	if _, err := r.nodes[0].Read(r.ctx, false, func(*machine.Machine) {}); !errors.Is(err, core.ErrNoLeader) {
		t.Errorf("the latest without a quorum: %v", err)
	}
}

func TestRetryAtAnotherInstanceIsAppliedOnce(t *testing.T) {
	r := newRig(t, 3)
	r.leader()
	res, err := r.nodes[0].Propose(r.ctx, &machine.Command{Kind: machine.OpenKind})
	for errors.Is(err, core.ErrNoLeader) {
		res, err = r.nodes[0].Propose(r.ctx, &machine.Command{Kind: machine.OpenKind})
	}
	r.ok(err)
	for i := range r.nodes {
		again, err := r.nodes[i].Propose(r.ctx, &machine.Command{Kind: machine.TxnKind, Session: res.ID, Seq: 1,
			Then: []machine.Op{{Kind: machine.Put, NS: "n", Key: "k"}}})
		if errors.Is(err, core.ErrNoLeader) {
			continue
		}
		if err != nil || again.Code != machine.OK {
			t.Errorf("n%d: %+v, %v", i, again, err)
		}
	}
	if kv, _, _, err := r.client("operator").Get(r.ctx, "n", "k", false); err != nil || kv.Version != 1 {
		t.Errorf("version %d, %v", kv.Version, err)
	}
}

// A follower that comes back after the log it needs was compacted is sent a snapshot.
func TestFollowerBehindTheLogGetsASnapshot(t *testing.T) {
	r := newRig(t, 3, func(c *Config) { c.SnapshotEntries = 100; c.SnapshotRate = 1 << 30 })
	c := r.client("operator")
	r.put(c, "first", "v")
	gone := (r.leader() + 1) % 3
	r.ok(r.nodes[gone].Close())
	for i := range 600 {
		r.put(c, fmt.Sprint("k", i%50), strings.Repeat("x", 1000))
	}
	r.open(gone)
	r.until("it has caught up", func() bool {
		kv, found := machine.KV{}, false
		_, err := r.nodes[gone].Read(r.ctx, true, func(m *machine.Machine) { kv, found = m.Get("n", "k49") })
		return err == nil && found && kv.Version == 12
	})
}

func TestMembersJoinLeaveAndDoNotComeBack(t *testing.T) {
	r := newRig(t, 3)
	operator := r.client("operator")
	r.put(operator, "k", "v")
	i := r.add()
	if _, err := Open(r.confs[i]); !errors.Is(err, disk.ErrEmpty) {
		t.Fatalf("an empty directory: %v", err)
	}
	join := func(node uint64, token string) error {
		_, err := r.client(r.confs[i].Name, 0, 1, 2).Call(r.ctx, &frame.Request{Op: frame.OpJoin, Node: node, Address: r.confs[i].Listen, Token: token}, false)
		return err
	}
	if err := join(r.ids[i], "nonsense"); err == nil || !strings.Contains(err.Error(), "token") {
		t.Fatalf("a token that is not known: %v", err)
	}
	_, err := operator.Txn(r.ctx, machine.Command{Kind: machine.TxnKind, Then: []machine.Op{{Kind: machine.Put, NS: core.TokensNS, Key: TokenKey("secret")}}})
	r.ok(err)
	r.ok(join(r.ids[i], "secret"))
	r.create(i, 0, nil)
	n := r.open(i)
	r.until("it is a voter", func() bool {
		s, err := n.Status(r.ctx)
		return err == nil && len(s.Voters) == 4
	})
	if err := join(99, "secret"); err != nil { // its name is known by now: no token is needed, and the old id goes
		t.Fatalf("the same name with a new id: %v", err)
	}
	select {
	case <-n.Ended():
	case <-r.ctx.Done():
		t.Fatal("the replaced instance goes on")
	}
	if !errors.Is(n.Err(), transport.ErrRemoved) {
		t.Errorf("it ended with: %v", n.Err())
	}
	again, err := Open(r.confs[i]) // old data, old id
	r.ok(err)
	select {
	case <-again.Ended():
	case <-r.ctx.Done():
		t.Fatal("a removed instance is let in with its old data")
	}
	var told *client.Error
	r.until("the new id is removed", func() bool { // on a busy machine the outcome may be unknown; who is gone is refused
		_, err := operator.Call(r.ctx, &frame.Request{Op: frame.OpRemove, Node: 99}, false)
		return err == nil || errors.As(err, &told) && told.Code == frame.CodeRefused
	})
	r.until("three are left", func() bool {
		s, err := r.nodes[0].Status(r.ctx)
		return err == nil && len(s.Members) == 3 && len(s.Learners) == 0
	})
	_, err = operator.Call(r.ctx, &frame.Request{Op: frame.OpRemove, Node: 12345}, false)
	if !errors.As(err, &told) || told.Code != frame.CodeRefused {
		t.Errorf("who is no member: %v", err)
	}
}

// Whoever is not of the store is refused, and costs nothing that stays.
func TestStrangersAreRefused(t *testing.T) {
	r := newRig(t, 1)
	c := r.client("operator")
	r.put(c, "k", "v")
	at := r.confs[0].Listen
	other := t.TempDir()
	r.ok(pki.Found(other, "other", time.Now(), time.Hour))
	r.ok(pki.Issue(other, "n0", pki.Instance, time.Now(), time.Hour))
	r.ok(pki.Issue(r.dir, "late", pki.Operator, time.Now().Add(-48*time.Hour), time.Hour))
	r.ok(pki.Issue(r.dir, "nobody", pki.Role("guest"), time.Now(), time.Hour))
	r.ok(pki.Issue(r.dir, "observer", pki.Observer, time.Now(), time.Hour))
	foreign, err := pki.Load(pki.Files{Certificate: filepath.Join(other, "n0.pem"), Key: filepath.Join(other, "n0-key.pem"), Authority: filepath.Join(r.dir, "authority.pem")})
	r.ok(err)
	none := r.tls("operator")
	none.Certificates = nil
	for name, conf := range map[string]*tls.Config{"another authority": foreign, "an old certificate": r.tls("late"), "no role": r.tls("nobody"), "no certificate": none} {
		if conn, _, err := transport.Dial(r.ctx, at, conf, frame.Hello{}, ""); err == nil {
			conn.Close()
			t.Errorf("%s was let in", name)
		}
	}
	for name, h := range map[string]frame.Hello{"another cluster": {Peer: true, Cluster: 5, ID: 10}, "an unknown id": {Peer: true, Cluster: 77, ID: 999}} {
		if conn, _, err := transport.Dial(r.ctx, at, r.tls("n0"), h, ""); err == nil {
			conn.Close()
			t.Errorf("%s was let in", name)
		}
	}
	if conn, _, err := transport.Dial(r.ctx, at, r.tls("operator"), frame.Hello{Peer: true, Cluster: 77, ID: 10}, ""); err == nil {
		conn.Close()
		t.Error("an operator was taken for an instance")
	}
	garbage, err := net.Dial("tcp", at)
	r.ok(err)
	_, _ = garbage.Write([]byte(strings.Repeat("\xff\x00garbage", 5000)))
	_, _ = io.Copy(io.Discard, garbage) // until it is closed
	long, _, err := transport.Dial(r.ctx, at, r.tls("operator"), frame.Hello{}, "")
	r.ok(err)
	_, _ = long.Write([]byte{0xff, 0xff, 0xff, 0xff, 'q'})
	if _, err := io.Copy(io.Discard, long); err != nil && !errors.Is(err, io.EOF) {
		t.Logf("a huge length ended with %v", err)
	}
	var told *client.Error
	_, err = r.client("observer").Call(r.ctx, &frame.Request{Op: frame.OpPropose, Command: &machine.Command{Kind: machine.OpenKind}}, false)
	if !errors.As(err, &told) || told.Code != frame.CodeRefused {
		t.Errorf("an observer wrote: %v", err)
	}
	for _, ns := range []string{core.MembersNS, documents.NS} {
		_, err = c.Txn(r.ctx, machine.Command{Kind: machine.TxnKind, Then: []machine.Op{{Kind: machine.Put, NS: ns, Key: "x"}}})
		if !errors.As(err, &told) || told.Code != frame.CodeRefused {
			t.Errorf("%s was written directly: %v", ns, err)
		}
	}
	c.Close()
	r.until("no connection stays", func() bool { return r.nodes[0].conns.Load() <= 1 })
	r.put(r.client("operator"), "k", "after")
}

func TestDocumentsAreCheckedAndNumbered(t *testing.T) {
	r := newRig(t, 3, func(c *Config) {
		c.Validate = func(name string, body, _ []byte) error {
			if strings.Contains(string(body), "bad") {
				return fmt.Errorf("document %s: key: is bad", name)
			}
			return nil
		}
	})
	r.leader()
	put := func(c *client.Client, body string, base int64) error {
		_, err := c.Call(r.ctx, &frame.Request{Op: frame.OpDocument, Name: "gateway", Body: []byte(body), After: base}, false)
		return err
	}
	c := r.client("operator")
	r.ok(put(c, `{"a":1}`, 0))
	for body, want := range map[string]string{`{"a":"bad"}`: "key: is bad", `{"a":1}`: "nothing would change", `{`: "not JSON"} {
		if err := put(c, body, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", body, err)
		}
	}
	// Two operators change the same revision at once, at two instances: one of them does.
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = put(r.client("operator", i), fmt.Sprintf(`{"a":%d}`, 10+i), 1)
		}()
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Errorf("%v and %v", errs[0], errs[1])
	}
	var events []machine.Event
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan error, 1)
	go func() {
		done <- r.client("operator", 2).Watch(ctx, documents.NS, "head/", 0, func(ev []machine.Event, _ int64, _ bool) error {
			if events = append(events, ev...); len(events) == 3 {
				cancel()
			}
			return nil
		})
	}()
	_, err := c.Call(r.ctx, &frame.Request{Op: frame.OpDocument, Name: "gateway", Limit: 1, After: -1}, false) // back
	r.ok(err)
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("the watch ended with %v after %d events", err, len(events))
	}
	kvs, _, err := c.List(r.ctx, documents.NS, "body/gateway/", -1, false)
	r.ok(err)
	rev, err := documents.Decode("gateway", kvs[len(kvs)-1].Value)
	if err != nil || rev.Number != 3 || rev.Back != 1 || string(rev.Body) != `{"a":1}` || rev.Author != "operator" {
		t.Errorf("%+v, %v", rev, err)
	}
	if b, _ := json.Marshal(rev); !strings.Contains(string(b), `"rolled_back_to":1`) {
		t.Errorf("%s", b)
	}
}

package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

const benchClients = 64

// runConcurrently runs b.N calls from a number of concurrent clients and reports their rate and latency.
func runConcurrently(b *testing.B, clients int, call func(client int) error) {
	b.Helper()
	var left atomic.Int64
	left.Store(int64(b.N))
	hists := make([]*hdrhistogram.Histogram, clients)
	var wg sync.WaitGroup
	b.ResetTimer()
	began := time.Now()
	for c := range clients {
		hists[c] = hdrhistogram.New(1, 10_000_000, 3)
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				at := time.Now()
				if err := call(c); err != nil {
					b.Error(err)
					return
				}
				_ = hists[c].RecordValue(time.Since(at).Microseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	for _, h := range hists[1:] {
		hists[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "op/s")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(99)), "p99-us")
}

// startBenchCluster starts a store in this process that syncs its files. The instances communicate by TLS over loopback.
func startBenchCluster(b *testing.B, instances int) (*cluster, *Node) {
	b.Helper()
	cl := startCluster(b, instances)
	n := cl.nodes[cl.leader()]
	deadline := time.Now().Add(10 * time.Second)
	for {
		_, err := n.Propose(cl.ctx, &machine.Command{Kind: machine.OpenSessionKind})
		if err == nil {
			return cl, n
		}
		if !errors.Is(err, core.ErrNoLeader) || time.Now().After(deadline) {
			b.Fatal(err)
		}
	}
}

func BenchmarkPropose(b *testing.B) {
	for _, instances := range []int{1, 3, 5} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			cl, n := startBenchCluster(b, instances)
			value := bytes.Repeat([]byte("v"), 64)
			runConcurrently(b, benchClients, func(c int) error {
				put := machine.Op{Kind: machine.Put, NS: "n", Key: strconv.Itoa(c), Value: value}
				_, err := n.Propose(cl.ctx, &machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}})
				return err
			})
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for _, instances := range []int{1, 3, 5} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			cl, n := startBenchCluster(b, instances)
			runConcurrently(b, benchClients, func(int) error {
				_, err := n.Read(cl.ctx, false, func(m *machine.Machine) { m.Get("n", "k") })
				return err
			})
		})
	}
}

// BenchmarkDisk measures the log alone: batches of small entries with one sync each.
func BenchmarkDisk(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprint("entries=", batch), func(b *testing.B) {
			dir, err := disk.OpenDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = dir.Close() }()
			l, err := disk.CreateLog(dir, disk.Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			data := bytes.Repeat([]byte("v"), 120)
			index := uint64(0)
			runConcurrently(b, 1, func(int) error {
				entries := make([]*raftpb.Entry, batch)
				for i := range entries {
					index++
					entries[i] = &raftpb.Entry{Index: new(index), Term: proto.Uint64(1), Data: data}
				}
				return l.Save(nil, nil, entries)
			})
		})
	}
}

// filledMachine returns a machine with a number of keys, and the bytes of heap that it occupies.
func filledMachine(b *testing.B, keys int) (m *machine.Machine, heapBytes uint64) {
	b.Helper()
	const keysPerCommand = 500
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m = machine.New()
	for first := 0; first < keys; first += keysPerCommand {
		command := machine.Command{Kind: machine.TransactionKind}
		for i := first; i < first+keysPerCommand; i++ {
			put := machine.Op{Kind: machine.Put, NS: "n", Key: fmt.Sprintf("key-%08d", i), Value: bytes.Repeat([]byte("v"), 64)}
			command.Then = append(command.Then, put)
		}
		encoded, err := machine.Encode(&command)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := m.Apply(m.Index()+1, encoded); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return m, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkSnapshot measures saving a snapshot and starting from it, by number of keys.
func BenchmarkSnapshot(b *testing.B) {
	for _, keys := range []int{10_000, 1_000_000} {
		m, heapBytes := filledMachine(b, keys)
		dir, err := disk.OpenDir(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = dir.Close() }()
		s := &core.Snapshot{Meta: &raftpb.SnapshotMetadata{Index: new(m.Index()), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}, Image: m.Image()}
		b.Run(fmt.Sprintf("save/keys=%d", keys), func(b *testing.B) {
			for range b.N {
				if err := disk.SaveSnapshot(dir, m.Index(), func(w io.Writer) error { return disk.EncodeSnapshot(w, s.Meta, s.Image.Write) }); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapBytes)/float64(keys), "heap-B/key")
			if st, err := os.Stat(filepath.Join(dir.Name(""), fmt.Sprintf("snap-%016x", m.Index()))); err == nil {
				b.ReportMetric(float64(st.Size())/float64(keys), "disk-B/key")
			}
		})
		b.Run(fmt.Sprintf("recover/keys=%d", keys), func(b *testing.B) {
			for range b.N {
				snap, name, err := disk.LoadSnapshot(dir)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := core.New(core.Config{ID: 1, Logger: raftLog{}}, core.InitialState{Snapshot: snap, SnapshotName: name, Log: &disk.Loaded{HardState: &raftpb.HardState{}}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

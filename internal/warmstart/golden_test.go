package warmstart

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"

	"cloverrock/balance"
	"cloverrock/internal/golden"
	"cloverrock/internal/store/machine"
)

// goldenState returns a snapshot and an endpoint list in which every field is set at least once.
func goldenState() (balance.Snapshot, EndpointList) {
	snapshot := snapshotOf("p", start, balance.HostSnapshot{Host: "p", Group: 1, Position: start, PositionAt: start - 1, Primary: true, ConcurrencyLimit: 4.5},
		balance.HostSnapshot{Host: "down/ü", Group: 1 << 31, Position: 1, PositionAt: 2, Unhealthy: true, SlowStartUntil: start + second, ConcurrencyLimit: math.MaxFloat64})
	snapshot.Groups = append(snapshot.Groups, balance.GroupSnapshot{Group: math.MaxInt64, Primary: "q", ObservedAt: start})
	snapshot.SessionFloor = start - second
	return snapshot, EndpointList{Generation: 9, Endpoints: []Endpoint{
		{StoredEndpoint: StoredEndpoint{Host: "p", Zone: 2, Group: 1, Kind: 3, State: balance.Draining, Primary: true, Weight: 1.5, StartedAt: start}, Address: "h:5432"}, {}}}
}

// The stored keys and bytes stay the same, and a restarted gateway restores the same state from them.
func TestStoredKeysKeepTheirBytes(t *testing.T) {
	known, list := goldenState()
	cache := New(Config{Name: "a", MinInterval: second, MaxAge: 60 * second})
	var cases []golden.Case
	for i, command := range cache.Plan(start, known, list) {
		b, err := machine.Encode(&command)
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, golden.Case{Name: fmt.Sprint("transaction ", i), Form: hex.EncodeToString(b)})
		for _, op := range command.Then {
			cases = append(cases, golden.Case{Name: op.NS + ":" + op.Key, Form: hex.EncodeToString(op.Value)})
		}
	}
	stored := golden.Check(t, "keys.golden", cases)
	fresh := New(Config{Name: "b", MinInterval: second, MaxAge: 60 * second})
	for _, key := range []string{"list", "floor", "group/00000000000000000001", "group/09223372036854775807", "host/p", "host/down/ü"} {
		value, err := hex.DecodeString(stored[NS+":"+key])
		if err != nil || len(value) == 0 {
			t.Fatalf("%s: %x, %v", key, value, err)
		}
		fresh.Update(&machine.KV{NS: NS, Key: key, Value: value}, false)
	}
	restored := fresh.Restore(start, 0)
	known.Hosts[0], known.Hosts[1] = known.Hosts[1], known.Hosts[0] // restored hosts are ordered by id
	snapshot := restored.Snapshot
	for i := range snapshot.Hosts {
		snapshot.Hosts[i].Primary = known.Hosts[i].Primary // Restore reports the primary of each group, but not of each host
	}
	if fresh.Unreadable() != 0 || len(restored.Discarded) != 0 || !reflect.DeepEqual(snapshot, known) || !reflect.DeepEqual(*restored.List, list) {
		t.Errorf("restored %v (%d unreadable)\nwant     %v", restored, fresh.Unreadable(), known)
	}
	if host := fresh.hosts["p"]; !host.Primary || host.By != "a" || host.At != start {
		t.Errorf("host p is read as %v, want the primary as written by a", host)
	}
}

// The JSON names of the stored records stay the same.
func TestStoredRecordsKeepTheirJSONNames(t *testing.T) {
	var cases []golden.Case
	for i, shown := range []any{&Primary{"p", 2, 3, "a"}, &Host{1, 2, 3, true, true, 4, 5.5, 6, "a"}, &SessionFloor{7}} {
		b, err := json.Marshal(shown)
		if err != nil {
			t.Fatal(err)
		}
		cases = append(cases, golden.Case{Name: []string{"primary", "host", "floor"}[i], Form: string(b)})
		read := reflect.New(reflect.TypeOf(shown).Elem()).Interface()
		if err := json.Unmarshal(b, read); err != nil || !reflect.DeepEqual(read, shown) {
			t.Errorf("%s is decoded as %v, %v", b, read, err)
		}
	}
	golden.Check(t, "json.golden", cases)
}

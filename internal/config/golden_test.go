package config

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// update writes the golden files anew, for a change of a form that is meant.
var update = flag.Bool("update", false, "write the golden files anew")

// held compares lines, one named case each, with a golden file, and returns the file's cases by name.
func held(t *testing.T, file string, lines []string) map[string]string {
	t.Helper()
	path, now := filepath.Join("testdata", file), strings.Join(lines, "\n")+"\n"
	if *update {
		if err := errors.Join(os.MkdirAll("testdata", 0o755), os.WriteFile(path, []byte(now), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(golden) != len(lines) {
		t.Errorf("%s has %d cases, now there are %d", path, len(golden), len(lines))
	}
	cases := map[string]string{}
	for i, line := range golden {
		name, value, _ := strings.Cut(line, " ")
		cases[name] = value
		if i < len(lines) && lines[i] != line {
			t.Errorf("%s, line %d:\nheld %s\nnow  %s", path, i+1, line, lines[i])
		}
	}
	return cases
}

// everyKey has every key of the configuration, each with a value that is not its default.
const everyKey = `{"name":"n3","listen":"127.0.0.4:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":512},
"peer_listen":"127.0.0.4:7946","peers":["127.0.0.4:7946","127.0.0.5:7946"],"peers_all":"127.3.255.1:7946",
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.1.0.1:1","zone":"z2","cell":1,"lifecycle":"SERVING"}]},
"settings":{"zone":1,"zones":["z1","z2"],"hostTypes":["h1"],"tickMs":5,"discovery":"subscribe","balancers":2,"ordinal":1,"costs":{"crossZone":0.5,"peer":0.25},
"classes":[{"name":"lookup","aimMs":301,"deadlineMs":751,"windowMs":11,"worth":1.5,"lateWorth":0.5,"aimStretch":2.5,"repeat":"idempotency_key","group":"cell"},
{"name":"change","aimMs":500,"deadlineMs":3000,"repeat":"non_idempotent","group":"zone"}],
"extra":{"baseTimeMs":7,"classRead":["recent","update"],"stalenessBoundMs":[501,0],"serverChecks":"reject","tokens":"client"},
"limits":{"cancel":true,"probes":true,"mayTell":true,"dialTimeoutMs":251,"maxRetryAfterMs":13,"idleCloseMs":20000,"maxAttempts":10},
"obligations":{"coldFrom":0.125,"coldMs":17,"fallMultiple":3.5,"overloadForMs":19,"drainBindsAlone":true}}}`

// read shows what a configuration becomes, each value under a word of this test: no identifier is in the golden file.
func read(document string, environment map[string]string) map[string]string {
	values := map[string]string{}
	c, err := Parse([]byte(document), func(key string) string { return environment[key] })
	var faulty *Error
	if errors.As(err, &faulty) {
		values["error"] = fmt.Sprintf("%q %q", faulty.Key, err.Error())
		return values
	}
	set := func(word string, value any) { values[word] = fmt.Sprint(value) }
	s := c.Settings
	set("name", c.Name)
	set("listen", c.Listen)
	set("list-from", c.Discovery)
	set("seed", c.Seed)
	set("memory", c.MemoryMB)
	set("sockets", c.Sockets)
	set("peer-listen", c.Peer.Listen)
	set("peers", c.Peer.Peers)
	set("peers-all", c.Peer.All)
	set("zone-names", c.Names.Zones)
	set("kind-names", c.Names.Kinds)
	set("longest", c.LongestDeadline)
	set("idle", c.IdleClose)
	set("gateways", c.Gateways)
	if c.KnownEndpoints != nil {
		set("known-full", c.KnownEndpoints.Complete)
		for i, entry := range c.KnownEndpoints.Endpoints {
			set(fmt.Sprint("known-", i), []any{entry.Host, entry.Zone, entry.Group, entry.State})
		}
	}
	set("zone", s.Zone)
	set("tick", s.TickInterval)
	set("subscribe", s.MustSubscribe)
	set("probes", s.HealthChecks)
	set("cancel", s.Cancellation)
	set("retry-after", s.MaxRetryAfter)
	set("attempts", s.MaxAttempts)
	set("dial", s.DialTimeout)
	set("hosts-check", s.HostsCheckStaleness)
	set("carried", s.RequestsCarrySessionAge)
	set("cross-price", s.CrossZoneCost)
	set("drain-alone", s.OnlyDrainingExcludes)
	set("cold-from", s.SlowStartInitialShare)
	set("cold-for", s.SlowStartDuration)
	set("fall-multiple", s.SlowStartOverloadFactor)
	set("fall-for", s.SlowStartOverloadWindow)
	set("tell", []any{s.Gateways, s.Ordinal, s.GossipBytesPerRequest})
	for name, class := range c.Classes {
		k := s.Classes[class.Index]
		set("class-"+name, []any{class.Index, class.Write, class.Deadline, k.LatencyObjective, k.ObjectivePerWork, k.Deadline, k.PriorityWeight, k.LatePriorityWeight, k.RetrySafety, k.DeduplicationScope, k.DeduplicationWindow, k.Consistency, k.MaxStaleness})
	}
	return values
}

// without calls f with the document as it is without each of its keys in turn.
func without(t *testing.T, f func(key, document string)) {
	t.Helper()
	var root any
	if err := json.Unmarshal([]byte(everyKey), &root); err != nil {
		t.Fatal(err)
	}
	var walk func(path string, at any)
	walk = func(path string, at any) {
		switch at := at.(type) {
		case map[string]any:
			for _, key := range slices.Sorted(maps.Keys(at)) {
				value := at[key]
				delete(at, key)
				b, err := json.Marshal(root)
				if err != nil {
					t.Fatal(err)
				}
				f(path+key, string(b))
				at[key] = value
				walk(path+key+".", value)
			}
		case []any:
			for i, value := range at {
				walk(fmt.Sprintf("%s%d.", path, i), value)
			}
		}
	}
	walk("", root)
}

// TestEachKeyKeepsItsValue holds what a file with every key becomes, what changes or what the error says where one key
// is left out, what each variable of the environment puts over the file, and the errors' keys and messages.
func TestEachKeyKeepsItsValue(t *testing.T) {
	every := read(everyKey, nil)
	var lines []string
	show := func(name string, values map[string]string) {
		var differs []string
		for _, word := range slices.Sorted(maps.Keys(values)) {
			if values[word] != every[word] {
				differs = append(differs, word+"="+values[word])
			}
		}
		for _, word := range slices.Sorted(maps.Keys(every)) {
			if _, told := values[word]; !told && values["error"] == "" {
				differs = append(differs, word+" is not there")
			}
		}
		lines = append(lines, name+" "+strings.Join(differs, "; "))
	}
	for _, word := range slices.Sorted(maps.Keys(every)) {
		lines = append(lines, "every:"+word+" "+every[word])
	}
	without(t, func(key, document string) { show("without:"+key, read(document, nil)) })
	for _, key := range []string{"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"} {
		show("environment:"+key, read(everyKey, map[string]string{key: "127.0.0.9:9"}))
		show("environment-faulty:"+key, read(everyKey, map[string]string{key: "here"}))
	}
	for i, change := range [][2]string{{`"sockets":512`, `"sockets":9`}, {`"memory_mb":64`, `"memory_mb":"much"`}, {`"tickMs":5`, `"tickMs":"five"`}, {`"aimMs":500`, `"aimMs":0`},
		{`"group":"cell"`, `"group":"shelf"`}, {`"peers_all":"127.3.255.1:7946"`, `"peers_all":"x"`}, {`"balancers":2`, `"balancers":3`}} {
		show(fmt.Sprint("faulty:", i), read(strings.Replace(everyKey, change[0], change[1], 1), nil))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, variable := range []string{"", path} {
		_, err := Load(func(key string) string { return map[string]string{"EDGE_CONFIG": variable}[key] })
		lines = append(lines, "unread "+strings.ReplaceAll(fmt.Sprint(err), path, "FILE"))
	}
	held(t, "config.txt", lines)
}

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"cloverrock/internal/golden"
)

// everyKey has every key of the configuration, each with a value other than its default.
const everyKey = `{"name":"n3","listen":"127.0.0.4:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":512},
"peer_listen":"127.0.0.4:7946","peers":["127.0.0.4:7946","127.0.0.5:7946"],"peers_all":"127.3.255.1:7946",
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.1.0.1:1","zone":"z2","cell":1,"lifecycle":"SERVING"}]},
"settings":{"zone":1,"zones":["z1","z2"],"hostTypes":["h1"],"tickMs":5,"discovery":"subscribe","balancers":2,"ordinal":1,"costs":{"crossZone":0.5,"peer":0.25},
"classes":[{"name":"lookup","aimMs":301,"deadlineMs":751,"windowMs":11,"worth":1.5,"lateWorth":0.5,"aimStretch":2.5,"repeat":"idempotency_key","group":"cell"},
{"name":"change","aimMs":500,"deadlineMs":3000,"repeat":"non_idempotent","group":"zone"}],
"extra":{"baseTimeMs":7,"classRead":["recent","update"],"stalenessBoundMs":[501,0],"serverChecks":"reject","tokens":"client"},
"limits":{"cancel":true,"probes":true,"mayTell":true,"dialTimeoutMs":251,"maxRetryAfterMs":13,"idleCloseMs":20000,"maxAttempts":10},
"obligations":{"coldFrom":0.125,"coldMs":17,"fallMultiple":3.5,"overloadForMs":19,"drainBindsAlone":true}}}`

// valuesOf returns the configuration that a document yields. Each value has a name that is defined here, so that the
// golden file contains no Go identifiers. For an invalid document the only value is the error, under the name error.
func valuesOf(document string, environment map[string]string) map[string]string {
	c, err := Parse([]byte(document), func(key string) string { return environment[key] })
	if faulty, ok := errors.AsType[*Error](err); ok {
		return map[string]string{"error": fmt.Sprintf("%q %q", faulty.Key, err.Error())}
	}
	s := &c.Settings
	values := map[string]string{}
	for word, value := range map[string]any{
		"name":          c.Name,
		"listen":        c.Listen,
		"list-from":     c.Discovery,
		"seed":          c.Seed,
		"memory":        c.MemoryMB,
		"sockets":       c.Sockets,
		"peer-listen":   c.Peer.Listen,
		"peers":         c.Peer.Peers,
		"peers-all":     c.Peer.All,
		"zone-names":    c.Names.Zones,
		"kind-names":    c.Names.Kinds,
		"longest":       c.LongestDeadline,
		"idle":          c.IdleClose,
		"gateways":      c.Gateways,
		"zone":          s.Zone,
		"tick":          s.TickInterval,
		"subscribe":     s.MustSubscribe,
		"probes":        s.HealthChecks,
		"cancel":        s.Cancellation,
		"retry-after":   s.MaxRetryAfter,
		"attempts":      s.MaxAttempts,
		"dial":          s.DialTimeout,
		"hosts-check":   s.HostsCheckStaleness,
		"carried":       s.RequestsCarrySessionAge,
		"cross-price":   s.CrossZoneCost,
		"drain-alone":   s.OnlyDrainingExcludes,
		"cold-from":     s.SlowStartInitialShare,
		"cold-for":      s.SlowStartDuration,
		"fall-multiple": s.SlowStartOverloadFactor,
		"fall-for":      s.SlowStartOverloadWindow,
		"tell":          []any{s.Gateways, s.Ordinal, s.GossipBytesPerRequest},
	} {
		values[word] = fmt.Sprint(value)
	}
	if known := c.KnownEndpoints; known != nil {
		values["known-full"] = strconv.FormatBool(known.Complete)
		for i, endpoint := range known.Endpoints {
			values[fmt.Sprint("known-", i)] = fmt.Sprint([]any{endpoint.Host, endpoint.Zone, endpoint.Group, endpoint.State})
		}
	}
	for name, class := range c.Classes {
		k := s.Classes[class.Index]
		values["class-"+name] = fmt.Sprint([]any{
			class.Index, class.Write, class.Deadline,
			k.LatencyObjective, k.ObjectivePerWork, k.Deadline, k.PriorityWeight, k.LatePriorityWeight,
			k.RetrySafety, k.DeduplicationScope, k.DeduplicationWindow, k.Consistency, k.MaxStaleness,
		})
	}
	return values
}

// forEachKeyLeftOut calls f with everyKey repeatedly, each time without another one of its keys.
func forEachKeyLeftOut(t *testing.T, f func(key, document string)) {
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

// TestEachKeyKeepsItsValue compares with the golden file: the configuration of a file that has every key, what changes
// or which error occurs without each key, the effect of each environment variable, and the keys and messages of errors.
func TestEachKeyKeepsItsValue(t *testing.T) {
	every := valuesOf(everyKey, nil)
	var lines []string
	show := func(name string, values map[string]string) {
		var differs []string
		for _, word := range slices.Sorted(maps.Keys(values)) {
			if values[word] != every[word] {
				differs = append(differs, word+"="+values[word])
			}
		}
		for _, word := range slices.Sorted(maps.Keys(every)) {
			if _, present := values[word]; !present && values["error"] == "" {
				differs = append(differs, word+" is not there")
			}
		}
		lines = append(lines, name+" "+strings.Join(differs, "; "))
	}
	for _, word := range slices.Sorted(maps.Keys(every)) {
		lines = append(lines, "every:"+word+" "+every[word])
	}
	forEachKeyLeftOut(t, func(key, document string) { show("without:"+key, valuesOf(document, nil)) })
	for _, key := range []string{"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"} {
		show("environment:"+key, valuesOf(everyKey, map[string]string{key: "127.0.0.9:9"}))
		show("environment-faulty:"+key, valuesOf(everyKey, map[string]string{key: "here"}))
	}
	for i, change := range [][2]string{
		{`"sockets":512`, `"sockets":9`},
		{`"memory_mb":64`, `"memory_mb":"much"`},
		{`"tickMs":5`, `"tickMs":"five"`},
		{`"aimMs":500`, `"aimMs":0`},
		{`"group":"cell"`, `"group":"shelf"`},
		{`"peers_all":"127.3.255.1:7946"`, `"peers_all":"x"`},
		{`"balancers":2`, `"balancers":3`},
	} {
		show(fmt.Sprint("faulty:", i), valuesOf(strings.Replace(everyKey, change[0], change[1], 1), nil))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, variable := range []string{"", path} {
		_, err := Load(func(key string) string { return map[string]string{"EDGE_CONFIG": variable}[key] })
		lines = append(lines, "unread "+strings.ReplaceAll(fmt.Sprint(err), path, "FILE"))
	}
	golden.CheckText(t, "config.txt", lines)
}

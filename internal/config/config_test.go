package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `{"name":"n3","listen":"127.0.0.4:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946",
 "known":{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.1.0.1:1","zone":"z2","cell":1,"lifecycle":"SERVING"}]},
 "settings":{"tickMs":5,"zones":["z1","z2"],"limits":{"maxAttempts":10,"idleCloseMs":20000},
  "classes":[{"name":"lookup","aimMs":300,"deadlineMs":750,"repeat":"read_like"},{"name":"change","aimMs":500,"deadlineMs":3000,"repeat":"non_idempotent"}],
  "extra":{"classRead":["recent","update"],"stalenessBoundMs":[500,0]}}}`

func noEnvironment(string) string { return "" }

// environment returns a getenv function with the variables of a map.
func environment(variables map[string]string) func(string) string {
	return func(key string) string { return variables[key] }
}

func TestParseReadsFileAndEnvironment(t *testing.T) {
	c, err := Parse([]byte(validFile), environment(map[string]string{"EDGE_NAME": "n4"}))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Seed != 0x8c1f30d27a5be964 || c.Settings.DialTimeout != 250e3 || c.IdleClose != 20e6 {
		t.Errorf("read as %+v", c)
	}
	if c.LongestDeadline != 3e6 || !c.Classes["change"].Write || c.Classes["lookup"].Write || c.Settings.Classes[0].MaxStaleness != 500e3 {
		t.Errorf("classes read as %+v", c)
	}
	if c.KnownEndpoints == nil || !c.KnownEndpoints.Complete || c.KnownEndpoints.Endpoints[0].Zone != 1 {
		t.Errorf("known endpoints read as %+v", c.KnownEndpoints)
	}
	if len(c.Peer.Peers) != 1 {
		t.Errorf("peers read as %+v", c.Peer)
	}
}

func TestErrorsNameTheFaultyKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.4:6543"`, `"listen":""`, "listen"},
		{`"listen":"127.0.0.4:6543"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":7`, "discovery"},
		{`"sockets":1024`, `"sockets":9`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"peers":["127.3.0.1:7946"]`, `"peers":["x"]`, "peers[0]"},
		{`"peers_all":"127.3.255.1:7946"`, `"peers_all":"x"`, "peers_all"},
		{`"peer_listen":"127.0.0.4:7946"`, `"peer_listen":"x"`, "peer_listen"},
		{`"lifecycle":"SERVING"`, `"lifecycle":"x"`, "known"},
		{`"settings":`, `"other":`, "settings"},
		{`"tickMs":5`, `"tickMs":0`, "settings.tickMs"},
		{`"tickMs":5`, `"tickMs":"five"`, "settings.tickMs"},
		{`"maxAttempts":10`, `"maxAttempts":0`, "settings.limits.maxAttempts"},
		{`"idleCloseMs":20000`, `"idleCloseMs":-1`, "settings.limits.idleCloseMs"},
		{`"name":"lookup"`, `"name":""`, "settings.classes[0].name"},
		{`"aimMs":500`, `"aimMs":0`, "settings.classes[1].aimMs"},
		{`"deadlineMs":3000`, `"deadlineMs":0`, "settings.classes[1].deadlineMs"},
		{`"repeat":"non_idempotent"`, `"repeat":"non-idempotent"`, "settings.classes[1].repeat"},
		{`,"repeat":"non_idempotent"`, ``, "settings.classes[1].repeat"},
		{`"repeat":"non_idempotent"`, `"repeat":"non_idempotent","group":"shelf"`, "settings.classes[1].group"},
		{`["recent","update"]`, `["recent","updates"]`, "settings.extra.classRead[1]"},
		{`["recent","update"]`, `["recent"]`, "settings.extra.classRead"},
		{`[500,0]`, `[-1,0]`, "settings.extra.stalenessBoundMs[0]"},
		{`[500,0]`, `[]`, "settings.extra.stalenessBoundMs[0]"},
		{`"extra":{`, `"extra":{"serverChecks":"maybe",`, "settings.extra.serverChecks"},
		{`"extra":{`, `"extra":{"tokens":"gateway",`, "settings.extra.tokens"},
		{`"tickMs":5`, `"tickMs":5,"discovery":"push"`, "settings.discovery"},
		{validFile, `{`, "EDGE_CONFIG"},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		_, err := Parse([]byte(text), noEnvironment)
		var e *Error
		if text == validFile || !errors.As(err, &e) || e.Key != c.key {
			t.Errorf("%s: got %v, want a fault of %s", c.new, err, c.key)
		}
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), "EDGE_CONFIG") {
		t.Errorf("without EDGE_CONFIG: %v", err)
	}
}

// At the start, EDGE_DISCOVERY overrides the file. A reload uses the file's address, because the environment of a
// running process does not change.
func TestReloadUsesDiscoveryOfTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := environment(map[string]string{"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.9.0.1:1", "EDGE_NAME": "n9"})
	for _, c := range []struct{ old, new, loaded, reloaded string }{
		{"", "", "127.9.0.1:1", "127.0.0.1:8500"},
		{`"discovery":"127.0.0.1:8500",`, ``, "127.9.0.1:1", "127.9.0.1:1"},
	} {
		if err := os.WriteFile(path, []byte(strings.Replace(validFile, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err := Load(getenv)
		if err != nil || loaded.Discovery != c.loaded {
			t.Fatalf("%q: loaded as %+v, %v", c.new, loaded, err)
		}
		reloaded, err := Reload(getenv)
		if err != nil || reloaded.Discovery != c.reloaded || reloaded.Name != "n9" {
			t.Fatalf("%q: reloaded as %+v, %v", c.new, reloaded, err)
		}
		if keys := loaded.RestartOnlyChanges(reloaded); len(keys) > 0 {
			t.Errorf("%q: keys %v differ", c.new, keys)
		}
	}
}

func TestRestartOnlyChangesNamesTheKeys(t *testing.T) {
	before, err := Parse([]byte(validFile), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	changes := strings.NewReplacer("127.0.0.4:6543", "127.0.0.5:6543", `"aimMs":500`, `"aimMs":501`, "127.3.0.1", "127.3.0.2", "1024", "512")
	after, err := Parse([]byte(changes.Replace(validFile)), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	keys := strings.Join(before.RestartOnlyChanges(after), "; ")
	if keys != "listen; limits; peer_listen, peers or peers_all; settings" {
		t.Errorf("keys %s", keys)
	}
}

// The number of gateways may be omitted, but if it is stated it must equal the number of peers.
func TestNumberOfGatewaysFitsThePeers(t *testing.T) {
	const invalid = 0
	const form = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","peer_listen":"127.0.0.1:3","peers_all":"127.0.0.1:4",
		"peers":["127.0.0.1:3","127.0.0.1:5"],"settings":{%s"limits":{"maxAttempts":3,"mayTell":true},"tickMs":1,
		"classes":[{"name":"a","aimMs":1,"deadlineMs":2,"repeat":"read_like"}],"extra":{"classRead":["loose"]}}}`
	for text, want := range map[string]int{
		"": 2, `"balancers":2,`: 2, `"balancers":0,`: 2, `"balancers":80,`: invalid, `"balancers":-1,`: invalid,
	} {
		c, err := Parse(fmt.Appendf(nil, form, text), noEnvironment)
		if want == invalid {
			if err == nil || !strings.Contains(err.Error(), "settings.balancers") {
				t.Errorf("%q: %v", text, err)
			}
			continue
		}
		if err != nil || c.Gateways != want || c.Settings.Gateways != want {
			t.Errorf("%q: %v, %+v", text, err, c)
		}
	}
}

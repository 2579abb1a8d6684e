// Package config is the one place where the configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"cloverrock/balance"
	"cloverrock/internal/discovery"
	"cloverrock/internal/frontend"
	"cloverrock/internal/peer"
	"cloverrock/internal/simprotocol"
)

// Config is what the program uses of its configuration. Times are microseconds.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB, Sockets       int
	Peer                    peer.Config
	KnownEndpoints          *discovery.EndpointList // nil if none was given
	Names                   discovery.Names
	Classes                 map[string]frontend.Class
	LongestDeadline         int64
	IdleClose               int64
	Gateways                int // of the tier, this one included
	Settings                balance.Settings
}

// Error names the faulty key.
type Error struct {
	Key string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("configuration: %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fault(key, format string, a ...any) error { return &Error{key, fmt.Errorf(format, a...)} }

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override its keys.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, false, nil) }

// LoadUnder reads the file and puts a document of the store over it: the keys that the document has for all, and then
// those that it has for this instance, go before the file's and, as on a reload, EDGE_DISCOVERY.
func LoadUnder(getenv func(string) string, document []byte) (*Config, error) {
	return load(getenv, true, document)
}

// Reload reads the file again while the program runs. The environment is still that of the start, so here the
// file's own discovery goes before EDGE_DISCOVERY: else no new address would ever be followed.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, true, nil) }

func load(getenv func(string) string, again bool, over []byte) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, fault("EDGE_CONFIG", "not set; it names the configuration file")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{"EDGE_CONFIG", err}
	}
	if over == nil {
		return parse(b, getenv, again)
	}
	if b, err = Overlay(b, over, getenv("EDGE_NAME")); err != nil {
		return nil, err
	}
	return parse(b, getenv, again)
}

// Overlay puts a document over a file. The name is the instance's, if the file does not tell it.
func Overlay(file, document []byte, name string) ([]byte, error) {
	var keys, over map[string]json.RawMessage
	if err := json.Unmarshal(file, &keys); err != nil {
		return nil, decoding("", err)
	}
	if err := json.Unmarshal(document, &over); err != nil {
		return nil, &Error{"document", err}
	}
	if name == "" {
		_ = json.Unmarshal(keys["name"], &name)
	}
	var each map[string]map[string]json.RawMessage
	if raw, ok := over["instances"]; ok {
		if err := json.Unmarshal(raw, &each); err != nil {
			return nil, &Error{"document.instances", err}
		}
	}
	for _, layer := range []map[string]json.RawMessage{over, each[name]} {
		for k, v := range layer {
			if k != "instances" {
				keys[k] = v
			}
		}
	}
	b, err := json.Marshal(keys)
	if err != nil {
		return nil, &Error{"document", err}
	}
	return b, nil
}

// RestartOnlyChanges names the keys in which o differs from c and that only a restart can change.
func (c *Config) RestartOnlyChanges(o *Config) (keys []string) {
	for _, k := range [...]struct {
		key  string
		same bool
	}{
		{"name", c.Name == o.Name}, {"listen", c.Listen == o.Listen},
		{"limits", c.MemoryMB == o.MemoryMB && c.Sockets == o.Sockets},
		{"peer_listen, peers or peers_all", reflect.DeepEqual(c.Peer, o.Peer)},
		{"settings", reflect.DeepEqual(c.Settings, o.Settings) && reflect.DeepEqual(c.Names, o.Names) &&
			reflect.DeepEqual(c.Classes, o.Classes) && c.IdleClose == o.IdleClose},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Parse reads the configuration's JSON as at the start.
func Parse(b []byte, getenv func(string) string) (*Config, error) { return parse(b, getenv, false) }

func parse(b []byte, getenv func(string) string, again bool) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      json.RawMessage `json:"seed"`
		Limits    struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64 `json:"sockets"`
		} `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, decoding("", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	for _, v := range [...]struct {
		env, key string
		value    *string
		address  bool
	}{{"EDGE_NAME", "name", &c.Name, false}, {"EDGE_LISTEN", "listen", &c.Listen, true}, {"EDGE_DISCOVERY", "discovery", &c.Discovery, true}} {
		key := v.key
		if s := getenv(v.env); s != "" && !(again && v.value == &c.Discovery && c.Discovery != "") {
			*v.value, key = s, v.env
		}
		if *v.value == "" && v.address {
			return nil, fault(key, "missing")
		}
		if _, err := netip.ParseAddrPort(*v.value); v.address && err != nil {
			return nil, &Error{key, err}
		}
	}
	if c.Name == "" {
		c.Name = "cloverrock"
	}
	if c.Sockets == 0 {
		c.Sockets = 1024
	}
	if c.Sockets < 64 {
		return nil, fault("limits.sockets", "%d is too few; 64 at least", c.Sockets)
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = 192
	}
	if c.MemoryMB < 32 {
		return nil, fault("limits.memory_mb", "%d is too little; 32 at least", c.MemoryMB)
	}
	c.Seed = seed(f.Seed)
	if err := c.peers(f.PeerListen, f.Peers, f.PeersAll); err != nil {
		return nil, err
	}
	if err := c.settings(f.Settings); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		l, err := discovery.Decode(f.Known, c.Names)
		if err != nil {
			return nil, &Error{"known", err}
		}
		l.Complete = true
		c.KnownEndpoints = &l
	}
	return c, nil
}

// decoding names the key that encoding/json could not read.
func decoding(under string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		parts := strings.Split(wrong.Field, ".")
		for i, p := range parts { // the adapter's fields bear no tags: their names begin with a capital
			if p != "" {
				parts[i] = strings.ToLower(p[:1]) + p[1:]
			}
		}
		key := strings.Join(parts, ".")
		if under != "" && key != "" {
			key = under + "." + key
		} else if under != "" {
			key = under
		}
		return fault(key, "is a %s", wrong.Value)
	}
	if under == "" {
		under = "EDGE_CONFIG"
	}
	return &Error{under, err}
}

// seed reads a number or hexadecimal digits; any other text serves as well.
func seed(raw json.RawMessage) uint64 {
	s := string(raw)
	if text, err := strconv.Unquote(s); err == nil {
		s = text
		if n, err := strconv.ParseUint(s, 16, 64); err == nil {
			return n
		}
	} else if n, err := strconv.ParseUint(s, 10, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

func (c *Config) peers(listen string, peers []string, all string) error {
	if listen != "" {
		if _, err := netip.ParseAddrPort(listen); err != nil {
			return &Error{"peer_listen", err}
		}
	}
	c.Peer.Listen = listen
	for i, s := range peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return &Error{fmt.Sprintf("peers[%d]", i), err}
		}
		c.Peer.Peers = append(c.Peer.Peers, a)
	}
	if all != "" {
		a, err := netip.ParseAddrPort(all)
		if err != nil {
			return &Error{"peers_all", err}
		}
		c.Peer.All = a
	}
	return nil
}

// words checks what is told by a word, and the bound that one asks for. One that is misspelt must not pass for the mildest: a write
// that never may run twice would be repeated, or a read answered from data of any age.
func words(o *simprotocol.Options) error {
	type choice struct {
		key, word string
		of        []string
	}
	all := []choice{
		{"discovery", o.Discovery, []string{"", "automatic", "subscribe"}},
		{"extra.serverChecks", o.Extra.ServerChecks, []string{"", "none", "reject", "hold"}},
		{"extra.tokens", o.Extra.Tokens, []string{"", "client", "router"}},
	}
	if n := len(o.Extra.ClassRead); n != len(o.Classes) {
		return fault("settings.extra.classRead", "names %d classes, but settings.classes has %d", n, len(o.Classes))
	}
	for i, c := range o.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		all = append(all, choice{key + "repeat", c.Repeat, []string{"read_like", "idempotency_key", "non_idempotent"}},
			choice{key + "group", c.Group, []string{"", "all", "cell", "zone"}},
			choice{fmt.Sprintf("extra.classRead[%d]", i), o.Extra.ClassRead[i], []string{"loose", "recent", "own_writes", "latest", "update"}})
		if o.Extra.ClassRead[i] == "recent" && (i >= len(o.Extra.StalenessBoundMs) || o.Extra.StalenessBoundMs[i] < 0) {
			return fault(fmt.Sprintf("settings.extra.stalenessBoundMs[%d]", i), "must be there, and not below 0, where classRead is recent")
		}
	}
	for _, c := range all {
		if !slices.Contains(c.of, c.word) {
			return fault("settings."+c.key, "is %q; want one of %s", c.word, strings.TrimPrefix(strings.Join(c.of, ", "), ", "))
		}
	}
	return nil
}

// settings maps the simulator's settings object, with the adapter's own code.
func (c *Config) settings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return fault("settings", "missing")
	}
	var o simprotocol.Options
	if err := json.Unmarshal(raw, &o); err != nil {
		return decoding("settings", err)
	}
	if len(o.Classes) == 0 {
		return fault("settings.classes", "missing")
	}
	if o.TickMs <= 0 {
		return fault("settings.tickMs", "must be above 0")
	}
	if o.Limits.MaxAttempts < 1 {
		return fault("settings.limits.maxAttempts", "must be 1 at least")
	}
	if o.Limits.DialTimeoutMs == 0 {
		o.Limits.DialTimeoutMs = 250
	}
	if o.Limits.IdleCloseMs == 0 {
		o.Limits.IdleCloseMs = 30000
	}
	if o.Limits.DialTimeoutMs < 0 {
		return fault("settings.limits.dialTimeoutMs", "must be above 0")
	}
	if o.Limits.IdleCloseMs < 0 {
		return fault("settings.limits.idleCloseMs", "must be above 0")
	}
	// Without the number, the list of peers tells it; one that is alone has neither. Numbers that contradict each other
	// would have a gateway speak to fewer than it pays for, or wait for more than there are.
	if c.Gateways = o.Balancers; o.Balancers == 0 {
		c.Gateways = max(len(c.Peer.Peers), 1)
		o.Balancers = c.Gateways
	}
	if o.Balancers < 0 {
		return fault("settings.balancers", "must not be below 0")
	}
	if n := len(c.Peer.Peers); n > 0 && n != o.Balancers {
		return fault("settings.balancers", "is %d, but peers names %d", o.Balancers, n)
	}
	if o.Ordinal == nil { // where gateways send from the address at which they listen, the list tells it
		if i := slices.IndexFunc(c.Peer.Peers, func(a netip.AddrPort) bool { return a.String() == c.Peer.Listen }); i >= 0 {
			o.Ordinal = &i
		}
	} else if *o.Ordinal < 0 || *o.Ordinal >= max(o.Balancers, 1) {
		return fault("settings.ordinal", "is %d, but there are %d balancers, counted from 0", *o.Ordinal, o.Balancers)
	}
	if err := words(&o); err != nil {
		return err
	}
	s, _ := o.Settings()
	if c.Peer.Listen == "" || !c.Peer.All.IsValid() { // nobody would hear it
		s.Gateways, s.GossipBytesPerRequest = 0, 0
	}
	c.Settings = s
	c.Names = discovery.Names{Zones: o.Zones, Kinds: o.HostTypes}
	c.IdleClose = int64(o.Limits.IdleCloseMs * 1000)
	c.Classes = map[string]frontend.Class{}
	for i, k := range o.Classes {
		key := fmt.Sprintf("settings.classes[%d].", i)
		if k.Name == "" {
			return fault(key+"name", "missing")
		}
		if k.AimMs <= 0 {
			return fault(key+"aimMs", "must be above 0")
		}
		if k.DeadlineMs <= 0 {
			return fault(key+"deadlineMs", "must be above 0")
		}
		c.Classes[k.Name] = frontend.Class{Index: i, Write: s.Classes[i].Consistency == balance.Write, Deadline: s.Classes[i].Deadline}
		c.LongestDeadline = max(c.LongestDeadline, s.Classes[i].Deadline)
	}
	return nil
}

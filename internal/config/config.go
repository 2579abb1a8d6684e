// Package config reads the gateway's configuration: a JSON file, which environment variables and a document of the
// store may override. It checks the values and fills in defaults. No other package reads the file. Every error is an
// *Error that names the invalid key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"cloverrock/balance"
	"cloverrock/internal/discovery"
	"cloverrock/internal/frontend"
	"cloverrock/internal/peer"
)

// Config is a checked configuration. Times are microseconds.
type Config struct {
	Name            string
	Listen          string // ip:port
	Discovery       string // ip:port
	Seed            uint64
	MemoryMB        int // MiB
	Sockets         int // descriptors that the process may have open
	Peer            peer.Config
	KnownEndpoints  *discovery.EndpointList // the list to use until discovery answers; nil if none was given
	Names           discovery.Names
	Classes         map[string]frontend.Class
	LongestDeadline int64 // the longest deadline of all classes
	IdleClose       int64 // idle time after which hosts close connections
	Gateways        int   // number of gateways in the fleet, including this one
	Settings        balance.Settings
}

// Error reports an invalid configuration. Key is the invalid key or environment variable, and Err is the cause.
type Error struct {
	Key string
	Err error
}

func (e *Error) Error() string { return fmt.Sprintf("configuration: %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func errorf(key, format string, a ...any) error { return &Error{key, fmt.Errorf(format, a...)} }

// Names of environment variables.
const (
	envConfig    = "EDGE_CONFIG"
	envName      = "EDGE_NAME"
	envListen    = "EDGE_LISTEN"
	envDiscovery = "EDGE_DISCOVERY"
)

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override its keys.
// The error is an *Error.
func Load(getenv func(string) string) (*Config, error) {
	file, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return parse(file, getenv, overrideAll)
}

// LoadWithOverlay reads the file and applies a document of the store to it. The document's keys for all instances
// override the keys of the file, and its keys for this instance override both. As in Reload, the resulting discovery
// address overrides EDGE_DISCOVERY. A nil document overrides nothing. The error is an *Error.
func LoadWithOverlay(getenv func(string) string, document []byte) (*Config, error) {
	file, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	if document != nil {
		if file, err = Overlay(file, document, getenv(envName)); err != nil {
			return nil, err
		}
	}
	return parse(file, getenv, keepDiscovery)
}

// Reload reads the file again while the program runs. The environment is still the one with which the program was
// started, so the file's discovery address overrides EDGE_DISCOVERY: otherwise a changed address would never be used.
// The error is an *Error.
func Reload(getenv func(string) string) (*Config, error) { return LoadWithOverlay(getenv, nil) }

// Parse parses the text of a configuration file and applies the environment as Load does. The error is an *Error.
func Parse(document []byte, getenv func(string) string) (*Config, error) {
	return parse(document, getenv, overrideAll)
}

func readFile(getenv func(string) string) ([]byte, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errorf(envConfig, "not set; it names the configuration file")
	}
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{envConfig, err}
	}
	return file, nil
}

// RestartOnlyChanges returns the keys that differ between c and other and that take effect only at a restart.
func (c *Config) RestartOnlyChanges(other *Config) (keys []string) {
	samePeers := reflect.DeepEqual(c.Peer, other.Peer)
	sameLimits := c.MemoryMB == other.MemoryMB && c.Sockets == other.Sockets
	sameSettings := reflect.DeepEqual(c.Settings, other.Settings) && reflect.DeepEqual(c.Names, other.Names) &&
		reflect.DeepEqual(c.Classes, other.Classes) && c.IdleClose == other.IdleClose
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"limits", sameLimits},
		{"peer_listen, peers or peers_all", samePeers},
		{"settings", sameSettings},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Defaults and lower bounds.
const (
	defaultName     = "cloverrock"
	defaultSockets  = 1024
	minSockets      = 64
	defaultMemoryMB = 192
	minMemoryMB     = 32
)

// fileDocument is the form of the configuration file.
type fileDocument struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       json.RawMessage `json:"seed"`
	Limits     fileLimits      `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

type fileLimits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

func parse(document []byte, getenv func(string) string, overrides overrideMode) (*Config, error) {
	var file fileDocument
	if err := json.Unmarshal(document, &file); err != nil {
		return nil, decodeError("", err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Seed: parseSeed(file.Seed)}
	if err := c.applyEnvironment(getenv, overrides); err != nil {
		return nil, err
	}
	if err := c.setLimits(file.Limits); err != nil {
		return nil, err
	}
	if err := c.setPeers(&file); err != nil {
		return nil, err
	}
	if err := c.setSettings(file.Settings); err != nil {
		return nil, err
	}
	if err := c.setKnownEndpoints(file.Known); err != nil {
		return nil, err
	}
	return c, nil
}

// overrideMode selects the keys that the environment overrides.
type overrideMode int

const (
	overrideAll   overrideMode = iota
	keepDiscovery              // every key except discovery, if the file has that key
)

// applyEnvironment overrides keys by environment variables and checks the results.
func (c *Config) applyEnvironment(getenv func(string) string, mode overrideMode) error {
	if name := getenv(envName); name != "" {
		c.Name = name
	}
	if c.Name == "" {
		c.Name = defaultName
	}
	if err := overrideAddress(&c.Listen, "listen", envListen, getenv); err != nil {
		return err
	}
	if mode == keepDiscovery && c.Discovery != "" {
		return checkAddress("discovery", c.Discovery)
	}
	return overrideAddress(&c.Discovery, "discovery", envDiscovery, getenv)
}

// overrideAddress replaces an address by the value of an environment variable, if it is set, and checks the result. An
// error names the variable if its value was used, and the key otherwise.
func overrideAddress(address *string, key, variable string, getenv func(string) string) error {
	if value := getenv(variable); value != "" {
		*address = value
		key = variable
	}
	return checkAddress(key, *address)
}

func checkAddress(key, address string) error {
	if address == "" {
		return errorf(key, "missing")
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &Error{key, err}
	}
	return nil
}

func (c *Config) setLimits(limits fileLimits) error {
	c.Sockets = int(limits.Sockets)
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < minSockets {
		return errorf("limits.sockets", "%d is too few; %d at least", c.Sockets, minSockets)
	}
	c.MemoryMB = int(limits.MemoryMB)
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.MemoryMB < minMemoryMB {
		return errorf("limits.memory_mb", "%d is too little; %d at least", c.MemoryMB, minMemoryMB)
	}
	return nil
}

func (c *Config) setPeers(file *fileDocument) error {
	if file.PeerListen != "" {
		if _, err := netip.ParseAddrPort(file.PeerListen); err != nil {
			return &Error{"peer_listen", err}
		}
	}
	c.Peer.Listen = file.PeerListen
	for i, s := range file.Peers {
		address, err := netip.ParseAddrPort(s)
		if err != nil {
			return &Error{fmt.Sprintf("peers[%d]", i), err}
		}
		c.Peer.Peers = append(c.Peer.Peers, address)
	}
	if file.PeersAll == "" {
		return nil
	}
	all, err := netip.ParseAddrPort(file.PeersAll)
	if err != nil {
		return &Error{"peers_all", err}
	}
	c.Peer.All = all
	return nil
}

// setKnownEndpoints reads the known endpoint list, if there is one. The list is always treated as complete.
func (c *Config) setKnownEndpoints(document json.RawMessage) error {
	if len(document) == 0 || string(document) == "null" {
		return nil
	}
	list, err := discovery.Decode(document, c.Names)
	if err != nil {
		return &Error{"known", err}
	}
	list.Complete = true
	c.KnownEndpoints = &list
	return nil
}

// decodeError returns an *Error that names the key at which encoding/json failed. parent is the key of the object that
// was being decoded; it is empty for the whole document. If the document is not JSON, the error names EDGE_CONFIG.
func decodeError(parent string, err error) error {
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return errorf(joinKey(parent, wrongType.Field), "is a %s", wrongType.Value)
	}
	if parent == "" {
		parent = envConfig
	}
	return &Error{parent, err}
}

func joinKey(parent, key string) string {
	if parent == "" || key == "" {
		return parent + key
	}
	return parent + "." + key
}

// parseSeed reads a seed: a number, or a string of hexadecimal digits. Any other text is hashed.
func parseSeed(raw json.RawMessage) uint64 {
	text := string(raw)
	base := 10
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
		base = 16
	}
	if n, err := strconv.ParseUint(text, base, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return hash.Sum64()
}

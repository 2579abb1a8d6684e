package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

const (
	identityName   = "identity.json"
	identityFormat = 1
)

// Identity identifies an instance. It is written once. An instance whose directory has no identity must join first.
type Identity struct {
	Cluster uint64   `json:"cluster"`
	Node    uint64   `json:"node"`
	Name    string   `json:"name"`
	Voters  []uint64 `json:"voters,omitempty"` // ids of the first members; empty for an instance that joined
	Format  int      `json:"form"`
}

// SaveIdentity writes the identity file, replacing an earlier one atomically.
func SaveIdentity(fs FS, id Identity) error {
	id.Format = identityFormat
	b, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return fmt.Errorf("store: encode the identity: %w", err)
	}
	if err := replaceFile(fs, identityName, writeAll(b)); err != nil {
		return fmt.Errorf("store: save %s: %w", fs.Name(identityName), err)
	}
	return nil
}

// LoadIdentity reads the identity, or returns nil if the directory has none. The error is a *CorruptError if the file is
// damaged.
func LoadIdentity(fs FS) (*Identity, error) {
	b, err := fs.Read(identityName)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("store: read %s: %w", fs.Name(identityName), err)
	}
	var id Identity
	if err := json.Unmarshal(b, &id); err != nil {
		return nil, &CorruptError{File: fs.Name(identityName), Reason: err.Error()}
	}
	if id.Format != identityFormat || id.Cluster == 0 || id.Node == 0 {
		return nil, &CorruptError{File: fs.Name(identityName), Reason: "cluster or node is missing, or form is not supported"}
	}
	return &id, nil
}

// NewID returns a random id of 63 bits that is not 0.
func NewID() (uint64, error) {
	var random [8]byte
	for {
		if _, err := rand.Read(random[:]); err != nil {
			return 0, err
		}
		if id := binary.LittleEndian.Uint64(random[:]) >> 1; id != 0 {
			return id, nil
		}
	}
}

// CreateDir creates an instance's data directory at a path of the operating system; see Create.
func CreateDir(path string, id Identity, index uint64, snapshot []byte) error {
	dir, err := OpenDir(path)
	if err != nil {
		return err
	}
	return errors.Join(Create(dir, id, index, snapshot, Options{}), dir.Close())
}

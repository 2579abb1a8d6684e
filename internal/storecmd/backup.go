package storecmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"go.etcd.io/raft/v3/raftpb"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
)

func (o *options) backupCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "backup --file FILE",
		Short: "Write the complete state to a file",
		Args:  app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return app.Usage("needs --file")
			}
			backup := o.withClient(func(ctx context.Context, s *session) error { return s.backup(ctx, file) })
			return backup(cmd, nil)
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "the file to write")
	return cmd
}

// backup writes the file only if the received backup is complete and passes verification.
func (s *session) backup(ctx context.Context, file string) (err error) {
	temp, err := os.CreateTemp(filepath.Dir(file), ".backup-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(temp.Name()) // the first error is returned
		}
	}()
	err = s.client.Backup(ctx, temp)
	if err == nil {
		err = temp.Sync()
	}
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	found, err := verifyFile(temp.Name())
	if err != nil {
		return fmt.Errorf("the received backup is not valid: %w", err)
	}
	if err := os.Rename(temp.Name(), file); err != nil {
		return err
	}
	return s.print(found, func(p *printer) { p.printf("%s: revision %d, %d keys\n", file, found.Revision, found.Keys) })
}

func (o *options) restoreCommand() *cobra.Command {
	var path, file string
	cmd := &cobra.Command{
		Use:   "restore --settings FILE --file BACKUP",
		Short: "Create a new store with this instance as its only member, from a backup or snapshot file",
		Args:  app.NoArgs,
		Long: `restore is for the permanent loss of a majority. It creates a store with a new identity. Instances of the old store are
refused, and must join the new one with empty directories. Writes acknowledged after the backup are lost.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			backup, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			identity, index, snapshot, err := newClusterFrom(file, backup, set)
			if err != nil {
				return err
			}
			if err := disk.CreateDir(set.Data, identity, index, snapshot); err != nil {
				return err
			}
			cluster := fmt.Sprintf("%016x", identity.Cluster)
			value := map[string]string{"cluster": cluster, "id": core.MemberKey(identity.Node)}
			return o.show(cmd.OutOrStdout(), value, func(p *printer) {
				p.printf("%s is the only member of the new cluster %s\n", set.Name, cluster)
			})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "the instance's settings; its data directory must be empty")
	cmd.Flags().StringVar(&file, "file", "", "a backup, or a snapshot of a data directory")
	return cmd
}

// newClusterFrom returns the identity of a new cluster with this instance as its only member, and that cluster's first
// snapshot with its index. The snapshot holds the state of a backup.
func newClusterFrom(name string, backup []byte, set *settings.Store) (identity disk.Identity, index uint64, snapshot []byte, err error) {
	meta, image, err := disk.DecodeSnapshot(name, backup)
	if err != nil {
		return identity, 0, nil, err
	}
	state, err := machine.Restore(image)
	if err != nil {
		return identity, 0, nil, err
	}
	identity, err = newIdentity(set.Name)
	if err != nil {
		return identity, 0, nil, err
	}
	command, err := replaceMembers(state, identity.Node, core.Member{Name: set.Name, Address: set.Address(), Format: machine.Format})
	if err != nil {
		return identity, 0, nil, err
	}
	index = meta.GetIndex() + 1
	if _, _, err := state.Apply(index, command); err != nil {
		return identity, 0, nil, err
	}
	newMeta := &raftpb.SnapshotMetadata{
		Index:     new(index),
		Term:      new(meta.GetTerm() + 1),
		ConfState: &raftpb.ConfState{Voters: identity.Voters},
	}
	snapshot, err = core.EncodeSnapshot(&core.Snapshot{Meta: newMeta, Image: state.Image()})
	return identity, index, snapshot, err
}

// newIdentity returns the identity of the only member of a new cluster.
func newIdentity(name string) (disk.Identity, error) {
	cluster, err := disk.NewID()
	if err != nil {
		return disk.Identity{}, err
	}
	id, err := disk.NewID()
	if err != nil {
		return disk.Identity{}, err
	}
	return disk.Identity{Cluster: cluster, Node: id, Name: name, Voters: []uint64{id}}, nil
}

// replaceMembers returns the encoded command that removes all members in the state and adds a new one.
func replaceMembers(state *machine.Machine, id uint64, member core.Member) ([]byte, error) {
	record, err := core.MemberOp(id, member)
	if err != nil {
		return nil, err
	}
	var ops []machine.Op
	for old := range core.Members(state) {
		key := core.MemberKey(old)
		ops = append(ops, machine.Op{Kind: machine.Delete, NS: core.MembersNS, Key: key},
			machine.Op{Kind: machine.Put, NS: core.RemovedNS, Key: key, Value: []byte("restored")})
	}
	return machine.Encode(&machine.Command{Kind: machine.TransactionKind, Then: append(ops, record)})
}

// summary describes the content of a snapshot file or data directory.
type summary struct {
	Cluster  string `json:"cluster,omitempty"`
	Node     string `json:"node,omitempty"`
	Index    uint64 `json:"snapshot_index"`
	Revision int64  `json:"revision"`
	Keys     int    `json:"keys"`
	Entries  int    `json:"log_entries"`
	Segments int    `json:"log_segments"`
	Torn     int64  `json:"torn_bytes"`
}

func (o *options) verifyCommand() *cobra.Command {
	var data, file string
	cmd := &cobra.Command{
		Use:   "verify --data DIR | --file BACKUP",
		Short: "Verify a data directory or a backup, and report the position of any damage",
		Args:  app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (data == "") == (file == "") {
				return app.Usage("needs exactly one of --data and --file")
			}
			verify := func() (*summary, error) { return verifyDir(data) }
			if file != "" {
				verify = func() (*summary, error) { return verifyFile(file) }
			}
			found, err := verify()
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), found, func(p *printer) {
				p.printf("good: snapshot at %d, revision %d, %d keys, %d log entries in %d files after it\n",
					found.Index, found.Revision, found.Keys, found.Entries, found.Segments)
				if found.Torn > 0 {
					p.printf("the log has an incomplete end of %d bytes, which the next start truncates\n", found.Torn)
				}
			})
		},
	}
	cmd.Flags().StringVar(&data, "data", "", "a data directory that no instance is using")
	cmd.Flags().StringVar(&file, "file", "", "a backup or snapshot file")
	return cmd
}

func verifyFile(path string) (*summary, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return verifySnapshot(path, encoded)
}

func verifySnapshot(name string, encoded []byte) (*summary, error) {
	meta, image, err := disk.DecodeSnapshot(name, encoded)
	if err != nil {
		return nil, err
	}
	state, err := machine.Restore(image)
	if err != nil {
		return nil, &disk.CorruptError{File: name, Reason: err.Error()}
	}
	return &summary{Index: meta.GetIndex(), Revision: state.Revision(), Keys: state.KeyCount()}, nil
}

func verifyDir(path string) (found *summary, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := disk.OpenDir(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	inspection, err := disk.Inspect(dir)
	if err != nil {
		return nil, err
	}
	found = &summary{}
	if inspection.Snapshot != nil {
		found, err = verifySnapshot(inspection.SnapshotName, inspection.Snapshot)
		if err != nil {
			return nil, err
		}
	}
	found.Cluster = fmt.Sprintf("%016x", inspection.Identity.Cluster)
	found.Node = core.MemberKey(inspection.Identity.Node)
	found.Entries = len(inspection.Loaded.Entries)
	found.Segments = inspection.Segments
	found.Torn = inspection.Loaded.TornBytes
	return found, nil
}

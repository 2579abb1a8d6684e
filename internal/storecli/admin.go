package storecli

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 365 * 24 * time.Hour
)

// founding is what the first members of a store agree on before there is one.
type founding struct {
	Cluster uint64           `json:"cluster"`
	Members []foundingMember `json:"members"`
}

type foundingMember struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// randomID returns a number that nobody else has: ids are never given twice.
func randomID() (uint64, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, err
		}
		if id := binary.LittleEndian.Uint64(b[:]) >> 1; id != 0 {
			return id, nil
		}
	}
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(append(b, '\n'))
	return errors.Join(err, f.Close())
}

func (s *storeCmd) initCmd() *cobra.Command {
	var dir, cluster string
	var members []string
	var local bool
	cmd := &cobra.Command{Use: "init --dir DIR --member NAME=HOST:PORT ...", Short: "Prepare a new store of one, three or five: authority, certificates, settings", Args: app.NoArgs,
		Long: `init writes into DIR: the authority (keep authority-key.pem away from the gateways), a certificate and a settings
file for each member, founding.json, and operator.json with the operator's certificate. Each member's machine gets its
own files, authority.pem and founding.json, and runs "store found" once. --local does that here for all of them.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" || len(members) == 0 {
				return app.Usage("needs --dir and at least one --member")
			}
			f := founding{}
			var err error
			if f.Cluster, err = randomID(); err != nil {
				return err
			}
			op := operator{Certificate: "operator.pem", Key: "operator-key.pem", Authority: "authority.pem"}
			if err := pki.Found(dir, cluster, time.Now(), authorityLife); err != nil {
				return err
			}
			for _, m := range members {
				name, address, ok := strings.Cut(m, "=")
				if !ok {
					return app.Usage("--member: %q is not NAME=HOST:PORT", m)
				}
				id, err := randomID()
				if err != nil {
					return err
				}
				f.Members = append(f.Members, foundingMember{id, name, address})
				op.Endpoints = append(op.Endpoints, address)
				set := settings.Settings{Store: &settings.Store{Name: name, Data: name + "-data", Listen: address,
					Certificate: name + ".pem", Key: name + "-key.pem", Authority: "authority.pem"}}
				for _, o := range members {
					if other, a, _ := strings.Cut(o, "="); other != name {
						set.Store.Join = append(set.Store.Join, a)
					}
				}
				if err := pki.Issue(dir, name, pki.Instance, time.Now(), certificateLife); err != nil {
					return err
				}
				if err := writeJSON(filepath.Join(dir, name+".json"), &set); err != nil {
					return err
				}
				if _, err := settings.Load(filepath.Join(dir, name+".json")); err != nil {
					return app.Usage("%w", err)
				}
			}
			if err := pki.Issue(dir, "operator", pki.Operator, time.Now(), certificateLife); err != nil {
				return err
			}
			if err := writeJSON(filepath.Join(dir, "operator.json"), &op); err != nil {
				return err
			}
			if err := writeJSON(filepath.Join(dir, "founding.json"), &f); err != nil {
				return err
			}
			if local {
				for _, m := range f.Members {
					set, err := settings.Load(filepath.Join(dir, m.Name+".json"))
					if err == nil {
						err = found(set.Store, &f)
					}
					if err != nil {
						return err
					}
				}
			}
			return s.show(cmd.OutOrStdout(), &f, func(w io.Writer) {
				fmt.Fprintf(w, "cluster\t%016x\n", f.Cluster)
				for _, m := range f.Members {
					fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, core.MemberKey(m.ID), m.Address)
				}
			})
		}}
	cmd.Flags().StringVar(&dir, "dir", "", "where the files go")
	cmd.Flags().StringVar(&cluster, "cluster", "store", "a name for the authority")
	cmd.Flags().StringArrayVar(&members, "member", nil, "NAME=HOST:PORT of a first member; once for each")
	cmd.Flags().BoolVar(&local, "local", false, "make the members' directories here, too")
	return cmd
}

// found makes a member's directory, once.
func found(set *settings.Store, f *founding) error {
	var voters []uint64
	var records []machine.Op
	id := disk.Identity{Cluster: f.Cluster, Name: set.Name}
	for _, m := range f.Members {
		voters = append(voters, m.ID)
		op, err := core.MemberOp(m.ID, core.Member{Name: m.Name, Address: m.Address, Format: machine.Format})
		if err != nil {
			return err
		}
		records = append(records, op)
		if m.Name == set.Name {
			id.Node = m.ID
		}
	}
	if id.Node == 0 {
		return fmt.Errorf("%s is not among the founding members", set.Name)
	}
	id.Voters = voters
	first, err := core.InitialSnapshot(voters, records)
	if err != nil {
		return err
	}
	return create(set.Data, id, 1, first)
}

func create(path string, id disk.Identity, index uint64, snapshot []byte) error {
	dir, err := disk.OpenDir(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return disk.Create(dir, id, index, snapshot, disk.Options{})
}

func (s *storeCmd) foundCmd() *cobra.Command {
	var file, path string
	cmd := &cobra.Command{Use: "found --settings FILE --founding FILE", Short: "Make the data directory of a first member, once", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			f := &founding{}
			if err := json.Unmarshal(b, f); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			if err := s.unfounded(set, f); err != nil {
				return err
			}
			return found(set, f)
		}}
	cmd.Flags().StringVar(&path, "settings", "", "the member's settings")
	cmd.Flags().StringVar(&file, "founding", "founding.json", "the file that init has written")
	return cmd
}

// unfounded makes sure, as far as the others can be reached, that the store is not at work yet. A directory that was
// lost and founded a second time would vote as if it had forgotten nothing.
func (s *storeCmd) unfounded(set *settings.Store, f *founding) error {
	conf, err := set.Node()
	if err != nil {
		return err
	}
	for _, m := range f.Members {
		if m.Name == set.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		c := client.New(client.Config{Endpoints: []string{m.Address}, TLS: conf.TLS, Pinned: true})
		st, err := status(ctx, c)
		c.Close()
		cancel()
		if err == nil && st.Commit > 1 {
			return &client.Error{Code: frame.CodeRefused, Message: fmt.Sprintf("the store is at work: %s answers. Start this instance with its empty directory, and it joins", m.Name)}
		}
	}
	return nil
}

func (s *storeCmd) certificateCmd() *cobra.Command {
	var dir, role string
	var life time.Duration
	cmd := &cobra.Command{Use: "certificate NAME", Short: "Issue a certificate with the authority's key", Args: exactly("NAME"),
		RunE: func(_ *cobra.Command, args []string) error {
			switch r := pki.Role(role); r {
			case pki.Instance, pki.Operator, pki.Observer:
				return pki.Issue(dir, args[0], r, time.Now(), life)
			}
			return app.Usage("--role: %q is not instance, operator or observer", role)
		}}
	cmd.Flags().StringVar(&dir, "dir", ".", "the authority's directory")
	cmd.Flags().StringVar(&role, "role", "instance", "instance, operator or observer")
	cmd.Flags().DurationVar(&life, "life", certificateLife, "how long it is good")
	return cmd
}

// serveCmd runs an instance without a gateway: a third one for two gateways.
func (s *storeCmd) serveCmd() *cobra.Command {
	var path, level, token string
	var lost bool
	cmd := &cobra.Command{Use: "serve --settings FILE", Short: "Run an instance of the store without a gateway", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			log, err := app.Logger(cmd.ErrOrStderr(), level, set.Name)
			if err != nil {
				return err
			}
			conf, err := set.Node()
			if err != nil {
				return err
			}
			conf.Log, conf.NoSync = log, lost
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			n, err := openOrJoin(cmd.Context(), set, conf, token, log)
			if err != nil {
				log.Error().Err(err).Msg("store: cannot start")
				return err
			}
			log.Info().Str("version", app.Version()).Str("listen", n.Address()).Msg("store: serving")
			select {
			case <-signals:
				return n.Close()
			case <-n.Ended():
				return n.Err()
			}
		}}
	cmd.Flags().StringVar(&path, "settings", "", "the instance's settings")
	cmd.Flags().StringVar(&level, "log", "info", "least level of log lines")
	cmd.Flags().StringVar(&token, "token", "", "a token, for an instance that is new and has an empty directory")
	cmd.Flags().BoolVar(&lost, "rehearse-lost-syncs", false, "do not sync the log: rehearsals have to find out what that loses")
	_ = cmd.Flags().MarkHidden("rehearse-lost-syncs")
	return cmd
}

func (s *storeCmd) joinCmd() *cobra.Command {
	var path, token string
	cmd := &cobra.Command{Use: "join --settings FILE [--token TOKEN]", Short: "Make an empty data directory that of a new member, which begins as a learner", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			id, err := join(cmd.Context(), set, token)
			if err != nil {
				return err
			}
			return s.show(cmd.OutOrStdout(), map[string]string{"id": core.MemberKey(id)}, func(w io.Writer) {
				fmt.Fprintf(w, "%s joins as %s; start it, and it becomes a voter when it has caught up\n", set.Name, core.MemberKey(id))
			})
		}}
	cmd.Flags().StringVar(&path, "settings", "", "the instance's settings; its join names whom to ask")
	cmd.Flags().StringVar(&token, "token", "", "needed for a name that is not a member yet")
	return cmd
}

func (s *storeCmd) restoreCmd() *cobra.Command {
	var path, file string
	cmd := &cobra.Command{Use: "restore --settings FILE --file BACKUP", Short: "Found a new store, of this instance alone, from a backup or snapshot file", Args: app.NoArgs,
		Long: `restore is for the loss of a majority. It makes a store with a new identity: instances of the old one are not let in
and join it with empty directories. What was acknowledged after the backup is not in it.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			id, index, snapshot, err := restored(file, b, set)
			if err != nil {
				return err
			}
			if err := create(set.Data, id, index, snapshot); err != nil {
				return err
			}
			return s.show(cmd.OutOrStdout(), map[string]string{"cluster": fmt.Sprintf("%016x", id.Cluster), "id": core.MemberKey(id.Node)}, func(w io.Writer) {
				fmt.Fprintf(w, "%s is the only member of the new cluster %016x\n", set.Name, id.Cluster)
			})
		}}
	cmd.Flags().StringVar(&path, "settings", "", "the instance's settings; its data directory has to be empty")
	cmd.Flags().StringVar(&file, "file", "", "a backup, or a snapshot of a data directory")
	return cmd
}

// restored turns a snapshot into the first one of a new cluster.
func restored(name string, b []byte, set *settings.Store) (id disk.Identity, index uint64, snapshot []byte, err error) {
	meta, image, err := disk.DecodeSnapshot(name, b)
	if err != nil {
		return id, 0, nil, err
	}
	m, err := machine.Restore(image)
	if err != nil {
		return id, 0, nil, err
	}
	id.Name = set.Name
	if id.Cluster, err = randomID(); err == nil {
		id.Node, err = randomID()
	}
	if err != nil {
		return id, 0, nil, err
	}
	op, err := core.MemberOp(id.Node, core.Member{Name: set.Name, Address: set.Address(), Format: machine.Format})
	if err != nil {
		return id, 0, nil, err
	}
	ops := []machine.Op{}
	for old := range core.Members(m) {
		ops = append(ops, machine.Op{Kind: machine.Delete, NS: core.MembersNS, Key: core.MemberKey(old)},
			machine.Op{Kind: machine.Put, NS: core.RemovedNS, Key: core.MemberKey(old), Value: []byte("restored")})
	}
	cmd, err := machine.Encode(&machine.Command{Kind: machine.TransactionKind, Then: append(ops, op)})
	if err != nil {
		return id, 0, nil, err
	}
	index = meta.GetIndex() + 1
	if _, _, err := m.Apply(index, cmd); err != nil {
		return id, 0, nil, err
	}
	id.Voters = []uint64{id.Node}
	snapshot, err = core.EncodeSnapshot(&core.Snapshot{Meta: &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(meta.GetTerm() + 1),
		ConfState: &raftpb.ConfState{Voters: id.Voters}}, Image: m.Image()})
	return id, index, snapshot, err
}

// summary is what a file or directory holds.
type summary struct {
	Cluster  string `json:"cluster,omitempty"`
	Node     string `json:"node,omitempty"`
	Index    uint64 `json:"snapshot_index"`
	Revision int64  `json:"revision"`
	Keys     int    `json:"keys"`
	Entries  int    `json:"log_entries"`
	Segments int    `json:"log_segments"`
	Cut      int64  `json:"torn_bytes"`
}

func verifyFile(path string) (*summary, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return verifySnapshot(path, b)
}

func verifySnapshot(name string, b []byte) (*summary, error) {
	meta, image, err := disk.DecodeSnapshot(name, b)
	if err != nil {
		return nil, err
	}
	m, err := machine.Restore(image)
	if err != nil {
		return nil, &disk.CorruptError{File: name, Reason: err.Error()}
	}
	return &summary{Index: meta.GetIndex(), Revision: m.Revision(), Keys: m.KeyCount()}, nil
}

func (s *storeCmd) verifyCmd() *cobra.Command {
	var data, file string
	cmd := &cobra.Command{Use: "verify --data DIR | --file BACKUP", Short: "Read a data directory or a backup whole, and name the place of any damage", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if (data == "") == (file == "") {
				return app.Usage("needs --data or --file")
			}
			var sum *summary
			var err error
			if file != "" {
				sum, err = verifyFile(file)
			} else {
				sum, err = verifyDir(data)
			}
			if err != nil {
				return err
			}
			return s.show(cmd.OutOrStdout(), sum, func(w io.Writer) {
				fmt.Fprintf(w, "good: snapshot at %d, revision %d, %d keys, %d entries in %d files behind it\n", sum.Index, sum.Revision, sum.Keys, sum.Entries, sum.Segments)
				if sum.Cut > 0 {
					fmt.Fprintf(w, "the log has a torn end of %d bytes, which the next start cuts\n", sum.Cut)
				}
			})
		}}
	cmd.Flags().StringVar(&data, "data", "", "a data directory that no instance is using")
	cmd.Flags().StringVar(&file, "file", "", "a backup or snapshot file")
	return cmd
}

func verifyDir(path string) (*summary, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := disk.OpenDir(path)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	look, err := disk.Inspect(dir)
	if err != nil {
		return nil, err
	}
	sum := &summary{}
	if look.Snapshot != nil {
		if sum, err = verifySnapshot(look.SnapshotName, look.Snapshot); err != nil {
			return nil, err
		}
	}
	sum.Cluster, sum.Node = fmt.Sprintf("%016x", look.Identity.Cluster), core.MemberKey(look.Identity.Node)
	sum.Entries, sum.Segments, sum.Cut = len(look.Loaded.Entries), look.Segments, look.Loaded.TornBytes
	return sum, nil
}

package storecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

const (
	authorityValidity    = 10 * 365 * 24 * time.Hour
	certificateValidity  = 365 * 24 * time.Hour
	probeTimeout         = 2 * time.Second // of the request that finds out whether the store is already running
	filePermissions      = 0o600
	initialSnapshotIndex = 1 // index of the last log entry that the initial snapshot covers
)

// founding is the content of the file founding.json: the id of a new cluster and its first members.
type founding struct {
	Cluster uint64           `json:"cluster"`
	Members []foundingMember `json:"members"`
}

type foundingMember struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// writeJSON writes a new file. It fails if the file exists.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	_, err = file.Write(append(text, '\n'))
	return errors.Join(err, file.Close())
}

// newStore is the store that the command "init" creates.
type newStore struct {
	dir      string
	cluster  string   // name for the authority
	members  []string // NAME=HOST:PORT
	founding founding
	operator operator
}

func (o *options) initCommand() *cobra.Command {
	store := &newStore{operator: operator{Certificate: "operator.pem", Key: "operator-key.pem", Authority: "authority.pem"}}
	var local bool
	cmd := &cobra.Command{
		Use:   "init --dir DIR --member NAME=HOST:PORT ...",
		Short: "Prepare a new store of one, three or five instances: authority, certificates, settings",
		Args:  app.NoArgs,
		Long: `init writes into DIR: the authority (keep authority-key.pem away from the gateways), a certificate and a settings
file for each member, founding.json, and operator.json with the operator's certificate. Copy to each member's machine its
own files, authority.pem and founding.json, and run "store found" there once. --local runs it here for all members.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if store.dir == "" || len(store.members) == 0 {
				return app.Usage("needs --dir and at least one --member")
			}
			if err := store.write(); err != nil {
				return err
			}
			if local {
				if err := store.createDataDirs(); err != nil {
					return err
				}
			}
			return o.show(cmd.OutOrStdout(), &store.founding, func(p *printer) {
				p.printf("cluster\t%016x\n", store.founding.Cluster)
				for _, m := range store.founding.Members {
					p.printf("%s\t%s\t%s\n", m.Name, core.MemberKey(m.ID), m.Address)
				}
			})
		},
	}
	cmd.Flags().StringVar(&store.dir, "dir", "", "the directory to write to")
	cmd.Flags().StringVar(&store.cluster, "cluster", "store", "a name for the authority")
	cmd.Flags().StringArrayVar(&store.members, "member", nil, "NAME=HOST:PORT of a first member; repeat it for each one")
	cmd.Flags().BoolVar(&local, "local", false, "also create the members' data directories here")
	return cmd
}

func (n *newStore) path(name string) string { return filepath.Join(n.dir, name) }

// write writes the authority, the certificates, and the files of the members and the operator.
func (n *newStore) write() error {
	cluster, err := disk.NewID()
	if err != nil {
		return err
	}
	n.founding.Cluster = cluster
	if err := pki.CreateAuthority(n.dir, n.cluster, time.Now(), authorityValidity); err != nil {
		return err
	}
	for _, member := range n.members {
		name, address, ok := strings.Cut(member, "=")
		if !ok {
			return app.Usage("--member: %q is not NAME=HOST:PORT", member)
		}
		if err := n.writeMember(name, address); err != nil {
			return err
		}
	}
	if err := pki.Issue(n.dir, "operator", pki.Operator, time.Now(), certificateValidity); err != nil {
		return err
	}
	if err := writeJSON(n.path("operator.json"), &n.operator); err != nil {
		return err
	}
	return writeJSON(n.path("founding.json"), &n.founding)
}

func (n *newStore) writeMember(name, address string) error {
	id, err := disk.NewID()
	if err != nil {
		return err
	}
	n.founding.Members = append(n.founding.Members, foundingMember{id, name, address})
	n.operator.Endpoints = append(n.operator.Endpoints, address)
	set := &settings.Store{
		Name:        name,
		Data:        name + "-data",
		Listen:      address,
		Certificate: name + ".pem",
		Key:         name + "-key.pem",
		Authority:   "authority.pem",
	}
	for _, member := range n.members {
		if other, otherAddress, _ := strings.Cut(member, "="); other != name {
			set.Join = append(set.Join, otherAddress)
		}
	}
	if err := pki.Issue(n.dir, name, pki.Instance, time.Now(), certificateValidity); err != nil {
		return err
	}
	path := n.path(name + ".json")
	if err := writeJSON(path, &settings.Settings{Store: set}); err != nil {
		return err
	}
	if _, err := settings.Load(path); err != nil {
		return app.Usage("%w", err)
	}
	return nil
}

// createDataDirs creates the data directories of all members on this machine.
func (n *newStore) createDataDirs() error {
	for _, member := range n.founding.Members {
		set, err := settings.Load(n.path(member.Name + ".json"))
		if err != nil {
			return err
		}
		if err := createDataDir(set.Store, &n.founding); err != nil {
			return err
		}
	}
	return nil
}

// createDataDir creates the data directory of a first member. It fails if the directory already belongs to an instance.
func createDataDir(set *settings.Store, f *founding) error {
	var voters []uint64
	var records []machine.Op
	identity := disk.Identity{Cluster: f.Cluster, Name: set.Name}
	for _, m := range f.Members {
		voters = append(voters, m.ID)
		record, err := core.MemberOp(m.ID, core.Member{Name: m.Name, Address: m.Address, Format: machine.Format})
		if err != nil {
			return err
		}
		records = append(records, record)
		if m.Name == set.Name {
			identity.Node = m.ID
		}
	}
	if identity.Node == 0 {
		return fmt.Errorf("the name %s is not among the members in the founding file", set.Name)
	}
	identity.Voters = voters
	first, err := core.InitialSnapshot(voters, records)
	if err != nil {
		return err
	}
	return disk.CreateDir(set.Data, identity, initialSnapshotIndex, first)
}

func (o *options) foundCommand() *cobra.Command {
	var file, path string
	cmd := &cobra.Command{
		Use:   "found --settings FILE --founding FILE",
		Short: "Create the data directory of a first member, once",
		Args:  app.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			set, err := loadStore(path)
			if err != nil {
				return err
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			f := &founding{}
			if err := json.Unmarshal(text, f); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			if err := checkNotRunning(set, f); err != nil {
				return err
			}
			return createDataDir(set, f)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "the member's settings")
	cmd.Flags().StringVar(&file, "founding", "founding.json", "the file that init has written")
	return cmd
}

// checkNotRunning returns an error if another first member answers and the store has already been written to. Otherwise a
// member that lost its data directory could be created a second time, and would vote without the entries that it had
// acknowledged.
func checkNotRunning(set *settings.Store, f *founding) error {
	conf, err := set.NodeConfig()
	if err != nil {
		return err
	}
	for _, m := range f.Members {
		if m.Name == set.Name {
			continue
		}
		if hasCommits(client.Config{Endpoints: []string{m.Address}, TLS: conf.TLS, SingleEndpoint: true}) {
			return refused("the store is already running: member %s answers. Start this instance with an empty data directory, and it joins the store", m.Name)
		}
	}
	return nil
}

// hasCommits reports whether an instance answers and has committed entries after the initial snapshot.
func hasCommits(conf client.Config) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c := client.New(conf)
	defer c.Close()
	status, err := fetchStatus(ctx, c)
	return err == nil && status.Commit > initialSnapshotIndex
}

func (o *options) certificateCommand() *cobra.Command {
	var dir, role string
	var life time.Duration
	cmd := &cobra.Command{
		Use:   "certificate NAME",
		Short: "Issue a certificate with the authority's key",
		Args:  exactArgs("NAME"),
		RunE: func(_ *cobra.Command, args []string) error {
			switch r := pki.Role(role); r {
			case pki.Instance, pki.Operator, pki.Observer:
				return pki.Issue(dir, args[0], r, time.Now(), life)
			}
			return app.Usage("--role: %q is not instance, operator or observer", role)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "the authority's directory")
	cmd.Flags().StringVar(&role, "role", "instance", "instance, operator or observer")
	cmd.Flags().DurationVar(&life, "life", certificateValidity, "how long the certificate is valid")
	return cmd
}

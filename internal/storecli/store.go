// Package storecli is the store on the command line, and beside a gateway.
package storecli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
	"cloverrock/internal/store/pki"
)

// Extension adds the store to the gateway.
type Extension struct{}

// Commands implements app.Extension.
func (Extension) Commands(getenv func(string) string) []*cobra.Command {
	return []*cobra.Command{storeCommands(getenv)}
}

// Check implements app.Extension.
func (Extension) Check(path string) error {
	_, err := settings.Load(path)
	return err
}

// ExitCode implements app.Extension.
func (Extension) ExitCode(err error) int {
	var told *client.Error
	var bad *disk.CorruptError
	switch {
	case errors.As(err, &bad):
		return app.ExitDamaged
	case errors.As(err, &told) && told.Code == frame.CodeRefused:
		return app.ExitRejected
	case errors.Is(err, client.ErrUnavailable), errors.As(err, &told) && told.Code == frame.CodeRetry:
		return app.ExitUnavailable
	}
	return app.ExitFailed
}

func exactly(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return app.Usage("needs %s", strings.Join(names, " "))
		}
		return nil
	}
}

// operator is how an operator reaches the store: a file that "store init" writes.
type operator struct {
	Endpoints   []string `json:"endpoints"`
	Certificate string   `json:"certificate"`
	Key         string   `json:"key"`
	Authority   string   `json:"authority"`
}

// storeCmd holds what all commands of the store share.
type storeCmd struct {
	as, output string
	at         string
	timeout    time.Duration
}

func storeCommands(getenv func(string) string) *cobra.Command {
	s := &storeCmd{}
	root := &cobra.Command{Use: "store", Short: "Found, look after and use the replicated store", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return app.Usage("needs a command") }}
	p := root.PersistentFlags()
	p.StringVar(&s.as, "as", getenv("CLOVERROCK_OPERATOR"), "operator's file, as store init writes it (CLOVERROCK_OPERATOR)")
	p.StringVar(&s.at, "at", "", "ask this instance only: HOST:PORT")
	p.StringVarP(&s.output, "output", "o", "text", "text or json")
	p.DurationVar(&s.timeout, "timeout", 10*time.Second, "how long to try")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if s.output != "text" && s.output != "json" {
			return app.Usage("--output: %q is neither text nor json", s.output)
		}
		return nil
	}
	root.AddCommand(s.initCmd(), s.foundCmd(), s.serveCmd(), s.joinCmd(), s.tokenCmd(), s.certificateCmd(), s.statusCmd(), s.membersCmd(), s.removeCmd(),
		s.transferCmd(), s.getCmd(), s.putCmd(), s.historyCmd(), s.diffCmd(), s.rollbackCmd(), s.watchCmd(), s.backupCmd(), s.restoreCmd(), s.verifyCmd(), s.keyCmd())
	return root
}

// client connects as the operator.
func (s *storeCmd) client() (*client.Client, context.Context, context.CancelFunc, error) {
	if s.as == "" {
		return nil, nil, nil, app.Usage("--as or CLOVERROCK_OPERATOR has to name the operator's file")
	}
	b, err := os.ReadFile(s.as)
	if err != nil {
		return nil, nil, nil, err
	}
	var o operator
	if err := json.Unmarshal(b, &o); err != nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", s.as, err)
	}
	for _, f := range []*string{&o.Certificate, &o.Key, &o.Authority} {
		if !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(s.as), *f)
		}
	}
	if s.at != "" {
		o.Endpoints = []string{s.at}
	}
	conf, err := pki.Load(pki.Files{Certificate: o.Certificate, Key: o.Key, Authority: o.Authority})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	if s.timeout > 0 {
		inner, stop := context.WithTimeout(ctx, s.timeout)
		outer := cancel
		ctx, cancel = inner, func() { stop(); outer() }
	}
	return client.New(client.Config{Endpoints: o.Endpoints, TLS: conf, Pinned: s.at != ""}), ctx, cancel, nil
}

// with runs f with a client.
func (s *storeCmd) with(f func(ctx context.Context, c *client.Client) error) error {
	c, ctx, cancel, err := s.client()
	if err != nil {
		return err
	}
	defer cancel()
	defer c.Close()
	return f(ctx, c)
}

// show prints a value as JSON, or as text by f.
func (s *storeCmd) show(out io.Writer, v any, text func(w io.Writer)) error {
	if s.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetEscapeHTML(false)
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (s *storeCmd) statusCmd() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Tell how the instances stand, and what revision of each document they run", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				st, err := status(ctx, c)
				if err != nil {
					return err
				}
				kvs, _, err := c.List(ctx, documents.StatusNS, "running/", -1, true)
				if err != nil {
					return err
				}
				running := []documents.Running{}
				for _, kv := range kvs {
					var r documents.Running
					if json.Unmarshal(kv.Value, &r) == nil {
						running = append(running, r)
					}
				}
				return s.show(cmd.OutOrStdout(), map[string]any{"instance": st, "running": running}, func(w io.Writer) {
					fmt.Fprintf(w, "instance\t%s (%s)\ncluster\t%s\nrole\t%s, term %d\nleader\t%s\nrevision\t%d, %d keys\n", st.Name, core.MemberKey(st.ID), st.Cluster,
						strings.ToLower(strings.TrimPrefix(st.Role, "State")), st.Term, st.Members[core.MemberKey(st.Leader)].Name, st.Revision, st.Keys)
					age := "not known: cut off, or just started"
					if st.AgeMS >= 0 {
						age = fmt.Sprintf("at most %d ms", st.AgeMS)
					}
					fmt.Fprintf(w, "behind\t%s\nlog\tapplied %d of %d, snapshot at %d, %d files\n", age, st.Applied, st.Commit, st.SnapshotIndex, st.Segments)
					if st.Halted != "" {
						fmt.Fprintf(w, "halted\t%s\n", st.Halted)
					}
					if st.DiskFull {
						fmt.Fprintln(w, "disk\tfull")
					}
					for _, r := range running {
						fmt.Fprintf(w, "%s\t%s: revision %d, %s %s\n", r.Document, r.Instance, r.Applied, r.State, r.Detail)
					}
				})
			})
		}}
}

func status(ctx context.Context, c *client.Client) (*node.Status, error) {
	a, err := c.Call(ctx, &frame.Request{Op: frame.OpStatus}, true)
	if err != nil {
		return nil, err
	}
	st := &node.Status{}
	if err := json.Unmarshal(a.Body, st); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return st, nil
}

func (s *storeCmd) membersCmd() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "List the instances", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				st, err := status(ctx, c)
				if err != nil {
					return err
				}
				type member struct {
					ID string `json:"id"`
					core.Member
					Role   string `json:"role"`
					Leader bool   `json:"leader"`
				}
				all := []member{}
				for id, m := range st.Members {
					role := "joining"
					for _, v := range st.Voters {
						if core.MemberKey(v) == id {
							role = "voter"
						}
					}
					for _, v := range st.Learners {
						if core.MemberKey(v) == id {
							role = "learner"
						}
					}
					all = append(all, member{id, m, role, core.MemberKey(st.Leader) == id})
				}
				slices.SortFunc(all, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
				return s.show(cmd.OutOrStdout(), all, func(w io.Writer) {
					for _, m := range all {
						lead := ""
						if m.Leader {
							lead = "leader"
						}
						fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.ID, m.Address, m.Role, lead)
					}
				})
			})
		}}
}

func (s *storeCmd) removeCmd() *cobra.Command {
	return &cobra.Command{Use: "remove NAME|ID", Short: "Remove an instance for good: it hands over first if it leads, and its data is of no more use", Args: exactly("NAME or ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				st, err := status(ctx, c)
				if err != nil {
					return err
				}
				var id uint64
				for key, m := range st.Members {
					if key == args[0] || m.Name == args[0] {
						id, _ = strconv.ParseUint(key, 16, 64)
					}
				}
				if id == 0 {
					return &client.Error{Code: frame.CodeRefused, Message: fmt.Sprintf("no member is called %q", args[0])}
				}
				if _, err := c.Call(ctx, &frame.Request{Op: frame.OpRemove, Node: id}, false); err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), map[string]string{"removed": core.MemberKey(id)}, func(w io.Writer) {
					fmt.Fprintf(w, "removed %s (%s)\n", args[0], core.MemberKey(id))
				})
			})
		}}
}

func (s *storeCmd) transferCmd() *cobra.Command {
	return &cobra.Command{Use: "transfer", Short: "Have the leader hand over, before its machine is stopped", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				_, err := c.Call(ctx, &frame.Request{Op: frame.OpTransfer}, true)
				return err
			})
		}}
}

func (s *storeCmd) tokenCmd() *cobra.Command {
	var life time.Duration
	cmd := &cobra.Command{Use: "token", Short: "Make a token by which one new instance may join", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				token, err := randomID()
				if err != nil {
					return err
				}
				text := fmt.Sprintf("%016x", token)
				lease, err := c.Txn(ctx, machine.Command{Kind: machine.GrantLeaseKind, Amount: life.Milliseconds()})
				if err != nil {
					return err
				}
				if _, err := c.Txn(ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{
					{Kind: machine.Put, NS: core.TokensNS, Key: node.TokenKey(text), Value: []byte("1"), Lease: lease.ID}}}); err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), map[string]string{"token": text}, func(w io.Writer) { fmt.Fprintln(w, text) })
			})
		}}
	cmd.Flags().DurationVar(&life, "life", time.Hour, "how long it may be used")
	return cmd
}

func (s *storeCmd) getCmd() *cobra.Command {
	var number int64
	cmd := &cobra.Command{Use: "get DOCUMENT", Short: "Print a document, or one of its earlier revisions", Args: exactly("DOCUMENT"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				rev, err := revision(ctx, c, args[0], number)
				if err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), rev, func(w io.Writer) { fmt.Fprintln(w, pretty(rev.Body)) })
			})
		}}
	cmd.Flags().Int64Var(&number, "revision", 0, "0: the latest")
	return cmd
}

// revision reads one, by the same code that the instances use.
func revision(ctx context.Context, c *client.Client, name string, number int64) (*documents.Revision, error) {
	r := &remote{ctx: ctx, c: c}
	rev, err := documents.At(r, name, number)
	if r.err != nil {
		return nil, r.err
	}
	if errors.Is(err, documents.ErrMissing) || errors.Is(err, documents.ErrName) {
		return nil, &client.Error{Code: frame.CodeRefused, Message: err.Error()}
	}
	return rev, err
}

// remote reads the state through a client.
type remote struct {
	ctx context.Context
	c   *client.Client
	err error
}

func (r *remote) Get(ns, key string) (machine.KV, bool) {
	kv, found, _, err := r.c.Get(r.ctx, ns, key, false)
	r.err = errors.Join(r.err, err)
	return kv, found
}

func (r *remote) List(ns, prefix string, limit int) []machine.KV {
	if limit == 0 {
		limit = -1
	}
	kvs, _, err := r.c.List(r.ctx, ns, prefix, limit, false)
	r.err = errors.Join(r.err, err)
	return kvs
}

func pretty(b []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, b, "", "  ") != nil {
		return string(b)
	}
	return out.String()
}

func (s *storeCmd) putCmd() *cobra.Command {
	var file, note string
	var base int64
	cmd := &cobra.Command{Use: "put DOCUMENT --file FILE", Short: "Change a document: checked by its schema, numbered, and only if nobody was faster", Args: exactly("DOCUMENT"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if file == "" {
				return app.Usage("needs --file; - is standard input")
			}
			var b []byte
			var err error
			if file == "-" {
				b, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), documents.MaxBody+1))
			} else {
				b, err = os.ReadFile(file)
			}
			if err != nil {
				return err
			}
			return s.change(cmd, &frame.Request{Op: frame.OpDocument, Name: args[0], Body: b, After: base, Token: note})
		}}
	cmd.Flags().StringVar(&file, "file", "", "the new text; - is standard input")
	cmd.Flags().StringVar(&note, "note", "", "why")
	cmd.Flags().Int64Var(&base, "base", -1, "the revision that you have changed; with another one there, nothing is done")
	return cmd
}

func (s *storeCmd) change(cmd *cobra.Command, q *frame.Request) error {
	return s.with(func(ctx context.Context, c *client.Client) error {
		a, err := c.Call(ctx, q, false)
		if err != nil {
			return err
		}
		var rev documents.Revision
		if err := json.Unmarshal(a.Body, &rev); err != nil {
			return err
		}
		return s.show(cmd.OutOrStdout(), rev, func(w io.Writer) { fmt.Fprintf(w, "%s is at revision %d\n", rev.Name, rev.Number) })
	})
}

func (s *storeCmd) rollbackCmd() *cobra.Command {
	var note string
	cmd := &cobra.Command{Use: "rollback DOCUMENT REVISION", Short: "Make an earlier text the latest revision", Args: exactly("DOCUMENT", "REVISION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.Atoi(args[1])
			if err != nil || number < 1 {
				return app.Usage("%q is no revision", args[1])
			}
			return s.change(cmd, &frame.Request{Op: frame.OpDocument, Name: args[0], Limit: number, After: -1, Token: note})
		}}
	cmd.Flags().StringVar(&note, "note", "", "why")
	return cmd
}

func (s *storeCmd) historyCmd() *cobra.Command {
	return &cobra.Command{Use: "history [DOCUMENT]", Short: "List a document's revisions, or all documents", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.with(func(ctx context.Context, c *client.Client) error {
				r := &remote{ctx: ctx, c: c}
				if len(args) == 0 {
					names := documents.Names(r)
					if r.err != nil {
						return r.err
					}
					return s.show(cmd.OutOrStdout(), names, func(w io.Writer) { fmt.Fprintln(w, strings.Join(names, "\n")) })
				}
				all, err := documents.History(r, args[0])
				if r.err != nil {
					return r.err
				}
				if err != nil {
					return &client.Error{Code: frame.CodeRefused, Message: err.Error()}
				}
				return s.show(cmd.OutOrStdout(), all, func(w io.Writer) {
					for _, rev := range all {
						note := rev.Note
						if rev.Back != 0 {
							note = strings.TrimSpace(fmt.Sprintf("back to %d %s", rev.Back, note))
						}
						fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", rev.Number, time.UnixMilli(rev.AtMS).UTC().Format(time.RFC3339), rev.Author, note)
					}
				})
			})
		}}
}

func (s *storeCmd) diffCmd() *cobra.Command {
	return &cobra.Command{Use: "diff DOCUMENT REVISION [REVISION]", Short: "Show what changed from one revision to another, or to the latest", Args: cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			numbers := []int64{0, 0}
			for i, a := range args[1:] {
				n, err := strconv.ParseInt(a, 10, 64)
				if err != nil || n < 1 {
					return app.Usage("%q is no revision", a)
				}
				numbers[i] = n
			}
			return s.with(func(ctx context.Context, c *client.Client) error {
				a, err := revision(ctx, c, args[0], numbers[0])
				if err != nil {
					return err
				}
				b, err := revision(ctx, c, args[0], numbers[1])
				if err != nil {
					return err
				}
				text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{A: difflib.SplitLines(pretty(a.Body)), B: difflib.SplitLines(pretty(b.Body)),
					FromFile: fmt.Sprintf("%s, revision %d", args[0], a.Number), ToFile: fmt.Sprintf("%s, revision %d", args[0], b.Number), Context: 3})
				if err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), map[string]any{"from": a.Number, "to": b.Number, "diff": text}, func(w io.Writer) { fmt.Fprint(w, text) })
			})
		}}
}

func (s *storeCmd) watchCmd() *cobra.Command {
	var after int64
	cmd := &cobra.Command{Use: "watch NAMESPACE [PREFIX]", Short: "Print changes as they come, one JSON object a line", Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			prefix := ""
			if len(args) > 1 {
				prefix = args[1]
			}
			if !cmd.Flags().Changed("timeout") {
				s.timeout = 0
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			return s.with(func(ctx context.Context, c *client.Client) error {
				if after < 0 {
					st, err := status(ctx, c)
					if err != nil {
						return err
					}
					after = st.Revision
				}
				err := c.Watch(ctx, args[0], prefix, after, func(events []machine.Event, upTo int64, ok bool) error {
					if !ok {
						return enc.Encode(map[string]any{"compacted": true, "revision": upTo})
					}
					for i := range events {
						if err := enc.Encode(&events[i]); err != nil {
							return err
						}
					}
					return nil
				})
				if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
					return nil // asked to end
				}
				return err
			})
		}}
	cmd.Flags().Int64Var(&after, "after", -1, "begin behind this revision; -1: now")
	return cmd
}

func (s *storeCmd) backupCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{Use: "backup --file FILE", Short: "Write the whole state to a file", Args: app.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return app.Usage("needs --file")
			}
			return s.with(func(ctx context.Context, c *client.Client) error {
				temp, err := os.CreateTemp(filepath.Dir(file), ".backup-*")
				if err != nil {
					return err
				}
				defer os.Remove(temp.Name())
				err = c.Backup(ctx, temp)
				if err == nil {
					err = temp.Sync()
				}
				if closed := temp.Close(); err == nil {
					err = closed
				}
				if err != nil {
					return err
				}
				sum, err := verifyFile(temp.Name())
				if err != nil {
					return fmt.Errorf("the backup that came is not whole: %w", err)
				}
				if err := os.Rename(temp.Name(), file); err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), sum, func(w io.Writer) { fmt.Fprintf(w, "%s: revision %d, %d keys\n", file, sum.Revision, sum.Keys) })
			})
		}}
	cmd.Flags().StringVar(&file, "file", "", "where the backup goes")
	return cmd
}

func (s *storeCmd) keyCmd() *cobra.Command {
	root := &cobra.Command{Use: "key", Short: "Read and write single keys, for scripts and for finding faults", Args: app.NoArgs,
		RunE: func(*cobra.Command, []string) error { return app.Usage("needs get, put, delete or list") }}
	var stale bool
	var version int64
	print := func(cmd *cobra.Command, kvs []machine.KV, age int64) error {
		return s.show(cmd.OutOrStdout(), map[string]any{"keys": kvs, "age_ms": age}, func(w io.Writer) {
			for _, kv := range kvs {
				fmt.Fprintf(w, "%s\t%s\tversion %d, revision %d\n", kv.Key, kv.Value, kv.Version, kv.Modified)
			}
		})
	}
	get := &cobra.Command{Use: "get NAMESPACE KEY", Args: exactly("NAMESPACE", "KEY"), RunE: func(cmd *cobra.Command, args []string) error {
		return s.with(func(ctx context.Context, c *client.Client) error {
			kv, found, age, err := c.Get(ctx, args[0], args[1], stale)
			if err == nil && !found {
				err = &client.Error{Code: frame.CodeRefused, Message: "there is no such key"}
			}
			if err != nil {
				return err
			}
			return print(cmd, []machine.KV{kv}, age)
		})
	}}
	list := &cobra.Command{Use: "list NAMESPACE [PREFIX]", Args: cobra.RangeArgs(1, 2), RunE: func(cmd *cobra.Command, args []string) error {
		return s.with(func(ctx context.Context, c *client.Client) error {
			kvs, age, err := c.List(ctx, args[0], strings.Join(args[1:], ""), -1, stale)
			if err != nil {
				return err
			}
			return print(cmd, kvs, age)
		})
	}}
	write := func(op machine.OpKind) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			o := machine.Op{Kind: op, NS: args[0], Key: args[1]}
			if op == machine.Put {
				o.Value = []byte(args[2])
			}
			c := machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{o}}
			if version >= 0 {
				c.If = []machine.Compare{{NS: o.NS, Key: o.Key, Target: machine.Version, Number: version}}
			}
			return s.with(func(ctx context.Context, cl *client.Client) error {
				res, err := cl.Txn(ctx, c)
				if err == nil && !res.Holds {
					err = &client.Error{Code: frame.CodeRefused, Message: "the key is at another version"}
				}
				if err != nil {
					return err
				}
				return s.show(cmd.OutOrStdout(), map[string]int64{"revision": res.Revision}, func(w io.Writer) { fmt.Fprintf(w, "revision %d\n", res.Revision) })
			})
		}
	}
	put := &cobra.Command{Use: "put NAMESPACE KEY VALUE", Args: exactly("NAMESPACE", "KEY", "VALUE"), RunE: write(machine.Put)}
	del := &cobra.Command{Use: "delete NAMESPACE KEY", Args: exactly("NAMESPACE", "KEY"), RunE: write(machine.Delete)}
	for _, c := range []*cobra.Command{get, list} {
		c.Flags().BoolVar(&stale, "stale", false, "take what the instance has, and tell how old it may be")
	}
	for _, c := range []*cobra.Command{put, del} {
		c.Flags().Int64Var(&version, "version", -1, "only if the key is at this version; 0: only if it is not there")
	}
	root.AddCommand(get, list, put, del)
	return root
}

func loadStore(path string) (*settings.Store, error) {
	if path == "" {
		return nil, app.Usage("needs --settings")
	}
	set, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if set.Store == nil {
		return nil, &settings.Error{File: path, Key: "store", Err: errors.New("missing")}
	}
	return set.Store, nil
}

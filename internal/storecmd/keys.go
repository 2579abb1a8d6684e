package storecmd

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/store/machine"
)

func (o *options) watchCommand() *cobra.Command {
	var after int64
	cmd := &cobra.Command{
		Use:   "watch NAMESPACE [PREFIX]",
		Short: "Print changes as they are applied, one JSON object a line",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("timeout") {
				o.timeout = 0
			}
			watch := o.withClient(func(ctx context.Context, s *session) error { return s.watch(ctx, after) })
			return watch(cmd, args)
		},
	}
	cmd.Flags().Int64Var(&after, "after", -1, "begin after this revision; -1: the current one")
	return cmd
}

// watch prints the events after a revision until the context ends. If after is negative, it begins after the current
// revision.
func (s *session) watch(ctx context.Context, after int64) error {
	if after < 0 {
		status, err := fetchStatus(ctx, s.client)
		if err != nil {
			return err
		}
		after = status.Revision
	}
	encoder := json.NewEncoder(s.cmd.OutOrStdout())
	printEvents := func(events []machine.Event, upTo int64, complete bool) error {
		if !complete {
			return encoder.Encode(map[string]any{"compacted": true, "revision": upTo})
		}
		for i := range events {
			if err := encoder.Encode(&events[i]); err != nil {
				return err
			}
		}
		return nil
	}
	err := s.client.Watch(ctx, s.args[0], strings.Join(s.args[1:], ""), after, printEvents)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil // a watch is ended by its context
	}
	return err
}

func (o *options) keyCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "key",
		Short: "Read and write single keys, for scripts and diagnosis",
		Args:  app.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return app.Usage("needs get, put, delete or list") },
	}
	root.AddCommand(o.keyGetCommand(), o.keyListCommand(), o.keyPutCommand(), o.keyDeleteCommand())
	return root
}

func (s *session) printKeys(kvs []machine.KV, stalenessMS int64) error {
	return s.print(map[string]any{"keys": kvs, "age_ms": stalenessMS}, func(p *printer) {
		for _, kv := range kvs {
			p.printf("%s\t%s\tversion %d, revision %d\n", kv.Key, kv.Value, kv.Version, kv.Modified)
		}
	})
}

func addStaleFlag(cmd *cobra.Command, stale *bool) {
	cmd.Flags().BoolVar(stale, "stale", false, "read the local state of one instance, and report how far it may be behind")
}

func (o *options) keyGetCommand() *cobra.Command {
	var stale bool
	cmd := &cobra.Command{
		Use:  "get NAMESPACE KEY",
		Args: exactArgs("NAMESPACE", "KEY"),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			kv, found, stalenessMS, err := s.client.Get(ctx, s.args[0], s.args[1], stale)
			if err != nil {
				return err
			}
			if !found {
				return refused("the key does not exist in the namespace")
			}
			return s.printKeys([]machine.KV{kv}, stalenessMS)
		}),
	}
	addStaleFlag(cmd, &stale)
	return cmd
}

func (o *options) keyListCommand() *cobra.Command {
	var stale bool
	cmd := &cobra.Command{
		Use:  "list NAMESPACE [PREFIX]",
		Args: cobra.RangeArgs(1, 2),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			kvs, stalenessMS, err := s.client.List(ctx, s.args[0], strings.Join(s.args[1:], ""), -1, stale)
			if err != nil {
				return err
			}
			return s.printKeys(kvs, stalenessMS)
		}),
	}
	addStaleFlag(cmd, &stale)
	return cmd
}

func addVersionFlag(cmd *cobra.Command, version *int64) {
	cmd.Flags().Int64Var(version, "version", -1, "write only if the key has this version; 0: only if it does not exist")
}

func (o *options) keyPutCommand() *cobra.Command {
	var version int64
	cmd := &cobra.Command{
		Use:  "put NAMESPACE KEY VALUE",
		Args: exactArgs("NAMESPACE", "KEY", "VALUE"),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			op := machine.Op{Kind: machine.Put, NS: s.args[0], Key: s.args[1], Value: []byte(s.args[2])}
			return s.writeKey(ctx, op, version)
		}),
	}
	addVersionFlag(cmd, &version)
	return cmd
}

func (o *options) keyDeleteCommand() *cobra.Command {
	var version int64
	cmd := &cobra.Command{
		Use:  "delete NAMESPACE KEY",
		Args: exactArgs("NAMESPACE", "KEY"),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			return s.writeKey(ctx, machine.Op{Kind: machine.Delete, NS: s.args[0], Key: s.args[1]}, version)
		}),
	}
	addVersionFlag(cmd, &version)
	return cmd
}

// writeKey executes a write and prints the resulting revision. If version is not negative, the write applies only if the
// key has that version.
func (s *session) writeKey(ctx context.Context, op machine.Op, version int64) error {
	command := machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{op}}
	if version >= 0 {
		command.If = []machine.Compare{{NS: op.NS, Key: op.Key, Target: machine.Version, Number: version}}
	}
	result, err := s.client.Transact(ctx, command)
	if err != nil {
		return err
	}
	if !result.Holds {
		return refused("the key does not have the version that --version requires")
	}
	return s.print(map[string]int64{"revision": result.Revision}, func(p *printer) { p.printf("revision %d\n", result.Revision) })
}

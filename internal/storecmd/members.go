package storecmd

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/node"
)

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show an instance's state, and the document revisions that all instances run",
		Args:  app.NoArgs,
		RunE: o.withStatus(func(ctx context.Context, s *session, status *node.Status) error {
			running, err := fetchRunning(ctx, s.client)
			if err != nil {
				return err
			}
			value := map[string]any{"instance": status, "running": running}
			return s.print(value, func(p *printer) {
				printInstance(p, status)
				for _, report := range running {
					p.printf("%s\t%s: revision %d, %s %s\n",
						report.Document, report.Instance, report.Applied, report.State, report.Detail)
				}
			})
		}),
	}
}

// withStatus returns a command's function that connects to the store, reads the status of an instance and calls run.
func (o *options) withStatus(
	run func(ctx context.Context, s *session, status *node.Status) error,
) func(*cobra.Command, []string) error {
	return o.withClient(func(ctx context.Context, s *session) error {
		status, err := fetchStatus(ctx, s.client)
		if err != nil {
			return err
		}
		return run(ctx, s, status)
	})
}

// fetchRunning returns the reports of all instances. It skips reports that cannot be decoded.
func fetchRunning(ctx context.Context, c *client.Client) ([]documents.Running, error) {
	kvs, _, err := c.List(ctx, documents.StatusNS, "running/", -1, true)
	if err != nil {
		return nil, err
	}
	running := []documents.Running{}
	for _, kv := range kvs {
		var report documents.Running
		if json.Unmarshal(kv.Value, &report) == nil {
			running = append(running, report)
		}
	}
	return running, nil
}

func printInstance(p *printer, status *node.Status) {
	p.printf("instance\t%s (%s)\n", status.Name, core.MemberKey(status.ID))
	p.printf("cluster\t%s\n", status.Cluster)
	p.printf("role\t%s, term %d\n", strings.ToLower(strings.TrimPrefix(status.Role, "State")), status.Term)
	p.printf("leader\t%s\n", status.Members[core.MemberKey(status.Leader)].Name)
	p.printf("revision\t%d, %d keys\n", status.Revision, status.Keys)
	behind := "unknown: no contact with a leader since the start"
	if status.StalenessMS >= 0 {
		behind = fmt.Sprintf("at most %d ms", status.StalenessMS)
	}
	p.printf("behind\t%s\n", behind)
	p.printf("log\tapplied %d of %d, snapshot at %d, %d files\n", status.Applied, status.Commit, status.SnapshotIndex, status.Segments)
	if status.Halted != "" {
		p.printf("halted\t%s\n", status.Halted)
	}
	if status.DiskFull {
		p.printf("disk\tfull\n")
	}
}

// fetchStatus returns the status of the first instance that answers.
func fetchStatus(ctx context.Context, c *client.Client) (*node.Status, error) {
	response, err := c.Call(ctx, &frame.Request{Op: frame.OpStatus}, client.Idempotent)
	if err != nil {
		return nil, err
	}
	status := &node.Status{}
	if err := json.Unmarshal(response.Body, status); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return status, nil
}

// member is one entry in the output of the command "members".
type member struct {
	ID string `json:"id"`
	core.Member
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
}

func (o *options) membersCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "members",
		Short: "List the instances",
		Args:  app.NoArgs,
		RunE: o.withStatus(func(_ context.Context, s *session, status *node.Status) error {
			members := listMembers(status)
			return s.print(members, func(p *printer) {
				for _, m := range members {
					leader := ""
					if m.Leader {
						leader = "leader"
					}
					p.printf("%s\t%s\t%s\t%s\t%s\n", m.Name, m.ID, m.Address, m.Role, leader)
				}
			})
		}),
	}
}

// listMembers returns the members in a status, ordered by name.
func listMembers(status *node.Status) []member {
	members := []member{}
	for key, record := range status.Members {
		hasKey := func(id uint64) bool { return core.MemberKey(id) == key }
		role := "joining"
		if slices.ContainsFunc(status.Voters, hasKey) {
			role = "voter"
		}
		if slices.ContainsFunc(status.Learners, hasKey) {
			role = "learner"
		}
		members = append(members, member{key, record, role, hasKey(status.Leader)})
	}
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

func (o *options) removeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove NAME|ID",
		Short: "Remove an instance permanently: its data directory cannot be used again",
		Args:  exactArgs("NAME or ID"),
		RunE: o.withStatus(func(ctx context.Context, s *session, status *node.Status) error {
			id := findMember(status, s.args[0])
			if id == 0 {
				return refused("no member has the name or id %q", s.args[0])
			}
			if _, err := s.client.Call(ctx, &frame.Request{Op: frame.OpRemove, NodeID: id}, client.NotIdempotent); err != nil {
				return err
			}
			key := core.MemberKey(id)
			return s.print(map[string]string{"removed": key}, func(p *printer) {
				p.printf("removed %s (%s)\n", s.args[0], key)
			})
		}),
	}
}

// findMember returns the id of the member with a name or id, or 0 if there is none.
func findMember(status *node.Status, nameOrID string) (id uint64) {
	for key, record := range status.Members {
		if key != nameOrID && record.Name != nameOrID {
			continue
		}
		if parsed, err := strconv.ParseUint(key, 16, 64); err == nil {
			id = parsed
		}
	}
	return id
}

func (o *options) transferCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "transfer",
		Short: "Transfer leadership to another instance, before the leader's machine is stopped",
		Args:  app.NoArgs,
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			_, err := s.client.Call(ctx, &frame.Request{Op: frame.OpTransfer}, client.Idempotent)
			return err
		}),
	}
}

func (o *options) tokenCommand() *cobra.Command {
	var life time.Duration
	cmd := &cobra.Command{
		Use:   "token",
		Short: "Create a token with which one new instance may join",
		Args:  app.NoArgs,
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			random, err := disk.NewID()
			if err != nil {
				return err
			}
			token := fmt.Sprintf("%016x", random)
			lease, err := s.client.Transact(ctx, machine.Command{Kind: machine.GrantLeaseKind, Amount: life.Milliseconds()})
			if err != nil {
				return err
			}
			put := machine.Op{Kind: machine.Put, NS: core.TokensNS, Key: node.TokenKey(token), Value: []byte("1"), Lease: lease.ID}
			if _, err := s.client.Transact(ctx, machine.Command{Kind: machine.TransactionKind, Then: []machine.Op{put}}); err != nil {
				return err
			}
			return s.print(map[string]string{"token": token}, func(p *printer) { p.printf("%s\n", token) })
		}),
	}
	cmd.Flags().DurationVar(&life, "life", time.Hour, "how long the token is valid")
	return cmd
}

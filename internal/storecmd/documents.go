package storecmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

const diffContext = 3 // unchanged lines around a change

func (o *options) getCommand() *cobra.Command {
	var number int64
	cmd := &cobra.Command{
		Use:   "get DOCUMENT",
		Short: "Print a document, or one of its earlier revisions",
		Args:  exactArgs("DOCUMENT"),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			revision, err := fetchRevision(ctx, s.client, s.args[0], number)
			if err != nil {
				return err
			}
			return s.print(revision, func(p *printer) { p.printf("%s\n", indented(revision.Body)) })
		}),
	}
	cmd.Flags().Int64Var(&number, "revision", 0, "0: the latest")
	return cmd
}

// fetchRevision reads a revision of a document; number 0 is the latest.
func fetchRevision(ctx context.Context, c *client.Client, name string, number int64) (*documents.Revision, error) {
	state := &remoteState{ctx: ctx, client: c}
	revision, err := documents.ReadRevision(state, name, number)
	if state.err != nil {
		return nil, state.err
	}
	if errors.Is(err, documents.ErrMissing) || errors.Is(err, documents.ErrName) {
		return nil, refused("%v", err)
	}
	return revision, err
}

// remoteState implements documents.Reader through a client, for the duration of one command. The methods of the interface
// return no errors, so they are collected in err, which the caller must check.
type remoteState struct {
	ctx    context.Context
	client *client.Client
	err    error
}

// Get implements documents.Reader.
func (r *remoteState) Get(ns, key string) (machine.KV, bool) {
	kv, found, _, err := r.client.Get(r.ctx, ns, key, false)
	r.err = errors.Join(r.err, err)
	return kv, found
}

// List implements documents.Reader.
func (r *remoteState) List(ns, prefix string, limit int) []machine.KV {
	if limit == 0 {
		limit = -1 // in a request, -1 means all keys
	}
	kvs, _, err := r.client.List(r.ctx, ns, prefix, limit, false)
	r.err = errors.Join(r.err, err)
	return kvs
}

// indented returns JSON with indentation, and any other text unchanged.
func indented(body []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		return string(body)
	}
	return out.String()
}

func (o *options) putCommand() *cobra.Command {
	var file, note string
	var base int64
	cmd := &cobra.Command{
		Use:   "put DOCUMENT --file FILE",
		Short: "Commit a new revision of a document, validated by its schema",
		Args:  exactArgs("DOCUMENT"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if file == "" {
				return app.Usage("needs --file; - is standard input")
			}
			body, err := readBody(file, cmd.InOrStdin())
			if err != nil {
				return err
			}
			return o.changeDocument(cmd, &frame.Request{Op: frame.OpDocument, Name: args[0], Body: body, After: base, Token: note})
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "the new body; - is standard input")
	cmd.Flags().StringVar(&note, "note", "", "the reason for the change")
	cmd.Flags().Int64Var(&base, "base", -1, "the revision that the change is based on; fails if it is not the latest; -1: any")
	return cmd
}

func readBody(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(in, documents.MaxBody+1)) // the store rejects a longer body
	}
	return os.ReadFile(file)
}

// changeDocument sends a change of a document and prints the resulting revision.
func (o *options) changeDocument(cmd *cobra.Command, request *frame.Request) error {
	change := o.withClient(func(ctx context.Context, s *session) error {
		response, err := s.client.Call(ctx, request, client.NotIdempotent)
		if err != nil {
			return err
		}
		var revision documents.Revision
		if err := json.Unmarshal(response.Body, &revision); err != nil {
			return err
		}
		return s.print(revision, func(p *printer) { p.printf("%s is at revision %d\n", revision.Name, revision.Number) })
	})
	return change(cmd, nil)
}

func (o *options) rollbackCommand() *cobra.Command {
	var note string
	cmd := &cobra.Command{
		Use:   "rollback DOCUMENT REVISION",
		Short: "Commit the body of an earlier revision as a new revision",
		Args:  exactArgs("DOCUMENT", "REVISION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.Atoi(args[1])
			if err != nil || number < 1 {
				return app.Usage("%q is not a revision number", args[1])
			}
			return o.changeDocument(cmd, &frame.Request{Op: frame.OpDocument, Name: args[0], Limit: number, After: -1, Token: note})
		},
	}
	cmd.Flags().StringVar(&note, "note", "", "why")
	return cmd
}

func (o *options) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history [DOCUMENT]",
		Short: "List a document's revisions, or all documents",
		Args:  cobra.MaximumNArgs(1),
		RunE: o.withClient(func(ctx context.Context, s *session) error {
			if len(s.args) == 0 {
				return s.printNames(ctx)
			}
			return s.printHistory(ctx, s.args[0])
		}),
	}
}

func (s *session) printNames(ctx context.Context) error {
	state := &remoteState{ctx: ctx, client: s.client}
	names := documents.Names(state)
	if state.err != nil {
		return state.err
	}
	return s.print(names, func(p *printer) { p.printf("%s\n", strings.Join(names, "\n")) })
}

func (s *session) printHistory(ctx context.Context, name string) error {
	state := &remoteState{ctx: ctx, client: s.client}
	revisions, err := documents.History(state, name)
	if state.err != nil {
		return state.err
	}
	if err != nil {
		return refused("%v", err)
	}
	return s.print(revisions, func(p *printer) {
		for _, revision := range revisions {
			note := revision.Note
			if revision.RolledBackTo != 0 {
				note = strings.TrimSpace(fmt.Sprintf("back to %d %s", revision.RolledBackTo, note))
			}
			at := time.UnixMilli(revision.AtMS).UTC().Format(time.RFC3339)
			p.printf("%d\t%s\t%s\t%s\n", revision.Number, at, revision.Author, note)
		}
	})
}

func (o *options) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff DOCUMENT REVISION [REVISION]",
		Short: "Show what changed from one revision to another, or to the latest",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			numbers := []int64{0, 0} // 0: the latest
			for i, arg := range args[1:] {
				number, err := strconv.ParseInt(arg, 10, 64)
				if err != nil || number < 1 {
					return app.Usage("%q is not a revision number", arg)
				}
				numbers[i] = number
			}
			show := o.withClient(func(ctx context.Context, s *session) error { return s.printDiff(ctx, numbers[0], numbers[1]) })
			return show(cmd, args)
		},
	}
}

func (s *session) printDiff(ctx context.Context, from, to int64) error {
	name := s.args[0]
	before, err := fetchRevision(ctx, s.client, name, from)
	if err != nil {
		return err
	}
	after, err := fetchRevision(ctx, s.client, name, to)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(indented(before.Body)),
		B:        difflib.SplitLines(indented(after.Body)),
		FromFile: fmt.Sprintf("%s, revision %d", name, before.Number),
		ToFile:   fmt.Sprintf("%s, revision %d", name, after.Number),
		Context:  diffContext,
	})
	if err != nil {
		return err
	}
	value := map[string]any{"from": before.Number, "to": after.Number, "diff": text}
	return s.print(value, func(p *printer) { p.printf("%s", text) })
}

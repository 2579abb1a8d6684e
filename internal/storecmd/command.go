// Package storecmd implements the command "store" with its subcommands, by which operators create, inspect and change
// the replicated store.
package storecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cloverrock/internal/app"
	"cloverrock/internal/settings"
	"cloverrock/internal/store/client"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/pki"
)

const defaultTimeout = 10 * time.Second

// ExitCode returns the exit code of the process for an error of a store command.
func ExitCode(err error) int {
	var answer *client.Error
	var damage *disk.CorruptError
	switch {
	case errors.As(err, &damage):
		return app.ExitDamaged
	case errors.As(err, &answer) && answer.Code == frame.CodeRefused:
		return app.ExitRejected
	case errors.Is(err, client.ErrUnavailable), errors.As(err, &answer) && answer.Code == frame.CodeRetry:
		return app.ExitUnavailable
	}
	return app.ExitFailed
}

// refused returns an error that gives the same exit code as a refusal by the store.
func refused(format string, args ...any) error {
	return &client.Error{Code: frame.CodeRefused, Message: fmt.Sprintf(format, args...)}
}

// operator is the content of the operator's file, which "store init" writes. It holds what an operator needs to connect to
// the store. Relative paths are relative to the file.
type operator struct {
	Endpoints   []string `json:"endpoints"`
	Certificate string   `json:"certificate"`
	Key         string   `json:"key"`
	Authority   string   `json:"authority"`
}

// options are the flags that all commands of the store share.
type options struct {
	operatorFile string
	output       string        // text or json
	endpoint     string        // HOST:PORT of the only instance to call; empty: all endpoints in the operator's file
	timeout      time.Duration // for the whole command; 0: none
}

// Command returns the command "store".
func Command(getenv func(string) string) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "store",
		Short: "Create, operate and use the replicated store",
		Args:  app.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return app.Usage("needs a command") },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.operatorFile, "as", getenv("CLOVERROCK_OPERATOR"), "operator's file, as store init writes it (CLOVERROCK_OPERATOR)")
	flags.StringVar(&o.endpoint, "at", "", "call this instance only: HOST:PORT")
	flags.StringVarP(&o.output, "output", "o", "text", "text or json")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.output != "text" && o.output != "json" {
			return app.Usage("--output: %q is neither text nor json", o.output)
		}
		return nil
	}
	root.AddCommand(o.initCommand(), o.foundCommand(), o.certificateCommand(), o.tokenCommand(),
		o.serveCommand(), o.joinCommand(),
		o.statusCommand(), o.membersCommand(), o.removeCommand(), o.transferCommand(),
		o.getCommand(), o.putCommand(), o.historyCommand(), o.diffCommand(), o.rollbackCommand(),
		o.watchCommand(), o.keyCommand(),
		o.backupCommand(), o.restoreCommand(), o.verifyCommand())
	return root
}

// exactArgs requires one argument for each name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return app.Usage("needs %s", strings.Join(names, " "))
		}
		return nil
	}
}

// session is a running command with a client that has the operator's certificate.
type session struct {
	*options
	cmd    *cobra.Command
	args   []string
	client *client.Client
}

// withClient returns a function for cobra.Command.RunE that calls run with a client. The context ends at the timeout and
// on SIGINT or SIGTERM.
func (o *options) withClient(run func(ctx context.Context, s *session) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		conf, err := o.clientConfig()
		if err != nil {
			return err
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		if o.timeout > 0 {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeout(ctx, o.timeout)
			defer stop()
		}
		s := &session{options: o, cmd: cmd, args: args, client: client.New(conf)}
		defer s.client.Close()
		return run(ctx, s)
	}
}

func (o *options) clientConfig() (client.Config, error) {
	if o.operatorFile == "" {
		return client.Config{}, app.Usage("needs the path of the operator's file in --as or CLOVERROCK_OPERATOR")
	}
	text, err := os.ReadFile(o.operatorFile)
	if err != nil {
		return client.Config{}, err
	}
	var op operator
	if err := json.Unmarshal(text, &op); err != nil {
		return client.Config{}, fmt.Errorf("%s: %w", o.operatorFile, err)
	}
	for _, path := range []*string{&op.Certificate, &op.Key, &op.Authority} {
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(filepath.Dir(o.operatorFile), *path)
		}
	}
	if o.endpoint != "" {
		op.Endpoints = []string{o.endpoint}
	}
	tls, err := pki.LoadTLS(pki.Files{Certificate: op.Certificate, Key: op.Key, Authority: op.Authority})
	if err != nil {
		return client.Config{}, err
	}
	return client.Config{Endpoints: op.Endpoints, TLS: tls, SingleEndpoint: o.endpoint != ""}, nil
}

// printer writes the text form of a result, with columns separated by tabs. After an error it writes nothing more.
type printer struct {
	writer *tabwriter.Writer
	err    error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.writer, format, args...)
	}
}

func (p *printer) flush() error {
	if p.err != nil {
		return p.err
	}
	return p.writer.Flush()
}

// show prints a result: value as JSON if the output format is json, and otherwise what text prints.
func (o *options) show(out io.Writer, value any, text func(p *printer)) error {
	if o.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(value)
	}
	p := &printer{writer: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	text(p)
	return p.flush()
}

// print prints a result to the command's output; see show.
func (s *session) print(value any, text func(p *printer)) error {
	return s.show(s.cmd.OutOrStdout(), value, text)
}

// loadStore reads the store's part of a settings file.
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

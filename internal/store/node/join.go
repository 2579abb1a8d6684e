package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/disk"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/transport"
)

const (
	joinRetry   = 2 * time.Second
	joinTimeout = 10 * time.Second // of one attempt
)

// JoinOptions configures how an instance with an empty directory joins.
type JoinOptions struct {
	Addresses []string // HOST:PORT of members; none: it does not join
	Token     string   // join token; required if no member has the instance's name yet
	// Config returns the configuration for one attempt. It is called for each attempt, so that certificates that were
	// replaced meanwhile are used.
	Config func() (Config, error)
}

// OpenOrJoin opens an instance's directory and starts it. An instance with an empty directory has no vote, even if a
// member already has its name: it first joins through one of the given addresses, and retries until it is accepted or
// refused or the context ends.
func OpenOrJoin(ctx context.Context, conf Config, join JoinOptions) (*Node, error) {
	for {
		n, err := Open(conf) //nolint:contextcheck // the instance outlives the call
		if !errors.Is(err, disk.ErrEmpty) || len(join.Addresses) == 0 {
			return n, err
		}
		conf.Log.Info().Strs("members", join.Addresses).Msg("store: data directory empty, joining as a learner")
		if err := joinUntilDecided(ctx, conf.Log, join); err != nil {
			return nil, err
		}
	}
}

// joinUntilDecided calls Join until the instance is accepted or refused or the context ends.
func joinUntilDecided(ctx context.Context, log zerolog.Logger, join JoinOptions) error {
	for {
		_, err := Join(ctx, join)
		var answer *client.Error
		refused := errors.As(err, &answer) && answer.Code == frame.CodeRefused
		if err == nil || refused {
			return err
		}
		log.Warn().Err(err).Msg("store: joining failed, retrying")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinRetry):
		}
	}
}

// Join requests that the members at the given addresses accept this instance under a new id, and then creates its data
// directory. It returns the id. A refusal is a *client.Error with frame.CodeRefused.
func Join(ctx context.Context, join JoinOptions) (uint64, error) {
	conf, err := join.Config()
	if err != nil {
		return 0, err
	}
	if err := checkNoIdentity(conf.Data); err != nil {
		return 0, err
	}
	id, err := disk.NewID()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	cluster, err := clusterOf(ctx, conf, join.Addresses)
	if err != nil {
		return 0, fmt.Errorf("join: %w: %w", client.ErrUnavailable, err)
	}
	members := client.New(client.Config{Endpoints: join.Addresses, TLS: conf.TLS})
	defer members.Close()
	request := &frame.Request{
		Op: frame.OpJoin, NodeID: id, Address: cmp.Or(conf.Advertise, conf.Listen), Token: join.Token,
	}
	if _, err := members.Call(ctx, request, client.NotIdempotent); err != nil {
		return 0, err
	}
	return id, disk.CreateDir(conf.Data, disk.Identity{Cluster: cluster, Node: id, Name: conf.Name}, 0, nil)
}

// checkNoIdentity returns an error if a directory belongs to an instance already.
func checkNoIdentity(path string) error {
	if !exists(path) {
		return nil
	}
	dir, err := disk.OpenDir(path)
	if err != nil {
		return err
	}
	owner, err := disk.LoadIdentity(dir)
	if err := errors.Join(err, dir.Close()); err != nil {
		return err
	}
	if owner != nil {
		return fmt.Errorf("%s belongs to instance %s already", path, owner.Name)
	}
	return nil
}

// exists reports whether there is anything at a path.
func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// clusterOf returns the cluster id of the first member that answers.
func clusterOf(ctx context.Context, conf Config, addresses []string) (cluster uint64, err error) {
	for _, address := range addresses {
		conn, welcome, dialErr := transport.Dial(ctx, address, conf.TLS, frame.Hello{}, "")
		err = dialErr
		if dialErr == nil {
			_ = conn.Close() // only the cluster id was needed
			return welcome.Cluster, nil
		}
	}
	return 0, err
}

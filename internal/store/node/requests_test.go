package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cloverrock/internal/store/client"
	"cloverrock/internal/store/core"
	"cloverrock/internal/store/documents"
	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
	"cloverrock/internal/store/pki"
)

func TestObserversCannotWriteAndProtectedNamespacesAreReadOnly(t *testing.T) {
	cl := startCluster(t, 1)
	c := cl.client("operator")
	cl.put(c, "k", "v")
	cl.must(pki.Issue(cl.dir, "observer", pki.Observer, time.Now(), time.Hour))
	_, err := cl.client("observer").Call(cl.ctx, &frame.Request{Op: frame.OpPropose, Command: &machine.Command{Kind: machine.OpenSessionKind}}, client.NotIdempotent)
	if !refused(err) {
		t.Errorf("an observer's write: %v, want a refusal", err)
	}
	for _, ns := range []string{core.MembersNS, documents.NS} {
		_, err = c.Transact(cl.ctx, putCommand(ns, "x", ""))
		if !refused(err) {
			t.Errorf("a client's write to namespace %s: %v, want a refusal", ns, err)
		}
	}
}

func TestDocumentChangesAreValidatedSerializedAndRolledBack(t *testing.T) {
	cl := startCluster(t, 3, func(c *Config) {
		c.Validate = func(name string, body, _ []byte) error {
			if strings.Contains(string(body), "bad") {
				return fmt.Errorf("document %s: key: is bad", name)
			}
			return nil
		}
	})
	cl.leader()
	put := func(c *client.Client, body string, base int64) error {
		_, err := c.Call(cl.ctx, &frame.Request{Op: frame.OpDocument, Name: "gateway", Body: []byte(body), After: base}, client.NotIdempotent)
		return err
	}
	c := cl.client("operator")
	cl.must(put(c, `{"a":1}`, 0))
	for body, want := range map[string]string{`{"a":"bad"}`: "key: is bad", `{"a":1}`: "nothing would change", `{`: "not JSON"} {
		if err := put(c, body, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", body, err)
		}
	}
	// Two operators change the same revision concurrently, at two instances: one change is committed, the other refused.
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() {
			errs[i] = put(cl.client("operator", i), fmt.Sprintf(`{"a":%d}`, 10+i), 1)
		})
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Errorf("two concurrent changes ended with %v and %v, want one error", errs[0], errs[1])
	}
	cl.expectRollback(c)
}

// expectRollback rolls the document back to its first revision, and checks the stored revision and the watched events.
func (cl *cluster) expectRollback(c *client.Client) {
	cl.t.Helper()
	var events []machine.Event
	ctx, cancel := context.WithCancel(cl.ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		collect := func(batch []machine.Event, _ int64, _ bool) error {
			events = append(events, batch...)
			if len(events) == 3 {
				cancel()
			}
			return nil
		}
		done <- cl.client("operator", 2).Watch(ctx, documents.NS, "head/", 0, collect)
	}()
	rollback := &frame.Request{Op: frame.OpDocument, Name: "gateway", Limit: 1, After: -1}
	_, err := c.Call(cl.ctx, rollback, client.NotIdempotent)
	cl.must(err)
	if err := <-done; !errors.Is(err, context.Canceled) {
		cl.t.Errorf("the watch ended with %v after %d events", err, len(events))
	}
	kvs, _, err := c.List(cl.ctx, documents.NS, "body/gateway/", -1, false)
	cl.must(err)
	rev, err := documents.DecodeRevision("gateway", kvs[len(kvs)-1].Value)
	if err != nil || rev.Number != 3 || rev.RolledBackTo != 1 || string(rev.Body) != `{"a":1}` || rev.Author != "operator" {
		cl.t.Errorf("revision after the rollback: %+v, %v", rev, err)
	}
	encoded, err := json.Marshal(rev)
	if err != nil || !strings.Contains(string(encoded), `"rolled_back_to":1`) {
		cl.t.Errorf("revision as JSON: %s, %v", encoded, err)
	}
}

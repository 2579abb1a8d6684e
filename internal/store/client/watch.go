package client

import (
	"context"
	"slices"
	"time"

	"cloverrock/internal/store/frame"
	"cloverrock/internal/store/machine"
)

// watchRetry is the pause before a watch is resumed.
const watchRetry = 200 * time.Millisecond

// Watch passes the events after a revision to handle until the context ends or handle returns an error, and returns that
// error. After a lost connection it resumes after the last revision that was handled. If the store refuses the watch, the
// error is an *Error.
func (c *Client) Watch(ctx context.Context, ns, prefix string, after int64, handle machine.EventHandler) error {
	for {
		request := &frame.Request{Op: frame.OpWatch, NS: ns, Key: prefix, After: after}
		var handleErr error
		conn, response, err := c.attempt(ctx, request, 0, func(part *frame.Response) error {
			if part.Result.Revision <= after {
				return nil // from an instance of an earlier version that is behind
			}
			events := eventsAfter(part.Events, after)
			after = part.Result.Revision
			handleErr = handle(events, after, part.Result.Code != machine.RevisionCompacted)
			return handleErr
		})
		if handleErr != nil {
			return handleErr
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && response.Code == frame.CodeRefused {
			return &Error{response.Code, response.Error}
		}
		c.nextEndpoint(conn)
		if !pause(ctx, watchRetry) {
			return ctx.Err()
		}
	}
}

// eventsAfter returns the events after a revision, of events in the order of their revisions.
func eventsAfter(events []machine.Event, after int64) []machine.Event {
	first := slices.IndexFunc(events, func(event machine.Event) bool { return event.Revision > after })
	if first < 0 {
		return nil
	}
	return events[first:]
}

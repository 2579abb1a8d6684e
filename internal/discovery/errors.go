package discovery

import (
	"errors"
	"fmt"
)

// ErrWatchSilent reports that the service sent nothing for longer than it may.
var ErrWatchSilent = errors.New("nothing heard for too long")

// ErrWatchEnded reports that the service ended its answer in order, which it does to a watch only when it stops.
var ErrWatchEnded = errors.New("the answer has ended")

// errSuperseded ends a call that was replaced by another, or whose watch was closed.
var errSuperseded = errors.New("given up")

// StatusError reports an answer with an HTTP status other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "status " + e.Status }

// SizeError reports a list of more than MaxBytes bytes.
type SizeError struct{ MaxBytes int }

func (e *SizeError) Error() string { return fmt.Sprintf("a list of more than %d bytes", e.MaxBytes) }

// WatchError reports why the watch at an address ended. Err is ErrWatchSilent, ErrWatchEnded, a *StatusError,
// *SizeError or *ListError, or an error of the connection.
type WatchError struct {
	Address string
	Err     error
}

func (e *WatchError) Error() string { return fmt.Sprintf("watch at %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *WatchError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do. The watch reconnects in any case, and the last list holds meanwhile.
func (e *WatchError) Remedy() string {
	if errors.Is(e.Err, ErrWatchSilent) {
		return "see whether discovery is up behind the agent at this address, and whether packets to it are dropped"
	}
	if errors.Is(e.Err, ErrWatchEnded) {
		return "none if discovery is being restarted; else look into its log for why it ends watches"
	}
	if _, ok := errors.AsType[*StatusError](e.Err); ok {
		return "see that the key discovery names the agent, and that the agent serves /api/targets"
	}
	_, badList := errors.AsType[*ListError](e.Err)
	_, tooLarge := errors.AsType[*SizeError](e.Err)
	if badList || tooLarge {
		return "correct the named entry at discovery; this list was turned down whole"
	}
	return "see that the agent runs and that the key discovery of the configuration names its address"
}

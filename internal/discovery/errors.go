package discovery

import (
	"errors"
	"fmt"
)

// ErrWatchSilent reports that no sign of life arrived within silenceTimeout, or no answer within the response timeout.
var ErrWatchSilent = errors.New("nothing received for too long")

// ErrWatchEnded reports that the service completed its response. It completes that of a watch only when it shuts down.
var ErrWatchEnded = errors.New("the service ended the response")

// errSuperseded ends a call that was replaced by another one, or whose watch was closed. It is never reported.
var errSuperseded = errors.New("superseded by another call")

// StatusError reports an answer with an HTTP status other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "status " + e.Status }

// SizeError reports a list of more than MaxBytes bytes.
type SizeError struct{ MaxBytes int }

func (e *SizeError) Error() string { return fmt.Sprintf("the list has more than %d bytes", e.MaxBytes) }

// WatchError reports why the watch at an address ended. Err is ErrWatchSilent, ErrWatchEnded, a *StatusError,
// *SizeError or *ListError, or an error of the connection.
type WatchError struct {
	Address string
	Err     error
}

func (e *WatchError) Error() string { return fmt.Sprintf("watch at %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *WatchError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do. The watch reconnects in any case, and the last list stays in use until then.
func (e *WatchError) Remedy() string {
	if errors.Is(e.Err, ErrWatchSilent) {
		return "check that discovery is up and that the agent at this address reaches it, and whether packets to it are dropped"
	}
	if errors.Is(e.Err, ErrWatchEnded) {
		return "nothing if discovery is being restarted; otherwise check its log for the reason why it ends watches"
	}
	if _, ok := errors.AsType[*StatusError](e.Err); ok {
		return "check that the key discovery holds the address of the agent, and that the agent serves /api/targets"
	}
	_, badList := errors.AsType[*ListError](e.Err)
	_, tooLarge := errors.AsType[*SizeError](e.Err)
	if badList || tooLarge {
		return "correct the named entry at discovery; this list was rejected"
	}
	return "check that the agent is running and that the key discovery of the configuration holds its address"
}

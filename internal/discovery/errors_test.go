package discovery

import (
	"errors"
	"strings"
	"testing"
)

func TestRemedyFitsTheError(t *testing.T) {
	for part, err := range map[string]error{
		"packets to it are dropped":      ErrWatchSilent,
		"discovery is being restarted":   ErrWatchEnded,
		"the agent serves /api/targets":  &StatusError{"503 Busy"},
		"correct the named entry":        &ListError{"generation", errMissing},
		"this list was rejected":         &SizeError{maxListBytes},
		"the key discovery of the confi": errors.New("connection refused"),
	} {
		watch := &WatchError{"127.0.0.1:8500", err}
		if remedy := watch.Remedy(); !strings.Contains(remedy, part) {
			t.Errorf("%v: %s", watch, remedy)
		}
		if !errors.Is(watch, err) {
			t.Errorf("%v does not wrap its cause", watch)
		}
	}
}

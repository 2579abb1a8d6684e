package launcher

import (
	"errors"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// missing is the name of a program that does not exist. Executing it fails with an error that contains the name.
const missingProgram = "no-such-program"

func TestCompletionAndStoreHelpNeedTheLargerProgram(t *testing.T) {
	for args, needed := range map[string]bool{
		"":                 false,
		"serve":            false,
		"help":             false,
		"help serve":       false,
		"completion bash":  true,
		"__complete s":     true,
		"__completeNoDesc": true,
		"help store":       true,
		"help store init":  true,
	} {
		err := New(missingProgram).HandleCompletion(strings.Fields(args))
		if (err != nil) != needed {
			t.Errorf("%q: %v", args, err)
		}
	}
}

func TestErrorNamesTheProgramAndItsCause(t *testing.T) {
	_, err := New(missingProgram).Open("", nil, zerolog.Nop())
	if err == nil || !strings.Contains(err.Error(), missingProgram) || !errors.Is(err, syscall.ENOENT) {
		t.Error(err)
	}
}

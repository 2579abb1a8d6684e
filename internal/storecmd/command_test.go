package storecmd_test

import (
	"bytes"
	"strings"
	"testing"

	"cloverrock/internal/app"
	"cloverrock/internal/daemon"
)

func TestCommandLineNamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"store", app.ExitUsage, "needs a command"},
		{"store status", app.ExitUsage, "--as"},
		{"store get", app.ExitUsage, "DOCUMENT"},
		{"store status --output xml", app.ExitUsage, "--output"},
		{"store verify --data /nowhere", app.ExitFailed, "/nowhere"},
		{"store serve", app.ExitUsage, "--settings"},
		{"store rollback gateway none --as x", app.ExitUsage, "not a revision number"},
		{"store init --dir " + t.TempDir() + " --member a", app.ExitUsage, "NAME=HOST:PORT"},
		{"completion bash", 0, "cloverrock"},
	} {
		var out bytes.Buffer
		code := app.Main(strings.Fields(c.args), func(string) string { return "" }, &out, &out, daemon.Extension{})
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: exit code %d, output %q", c.args, code, out.String())
		}
	}
}

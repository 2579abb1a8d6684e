package storecli

import (
	"bytes"
	"strings"
	"testing"

	"cloverrock/internal/app"
)

func TestCommandLineNamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"store", 2, "needs a command"}, {"store status", 2, "--as"}, {"store get", 2, "DOCUMENT"}, {"store status --output xml", 2, "--output"},
		{"store verify --data /nowhere", 1, "/nowhere"}, {"store serve", 2, "--settings"}, {"store rollback gateway none --as x", 2, "no revision"},
		{"store init --dir " + t.TempDir() + " --member a", 2, "NAME=HOST:PORT"}, {"completion bash", 0, "cloverrock"},
	} {
		var out bytes.Buffer
		if code := app.Main(strings.Fields(c.args), func(string) string { return "" }, &out, &out, Extension{}); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: %d, %q", c.args, code, out.String())
		}
	}
}

package pgwire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A startup message contains a version and parameters, or one of the requests that are sent in its place.
func TestNextStartupReadsVersionsRequestsAndParameters(t *testing.T) {
	complete := string(AppendStartup(nil, "user", "worker", "database", "catalog"))
	for name, c := range map[string]struct {
		in     string
		want   Startup
		rest   string
		ok, er bool
	}{
		"nothing":           {},
		"part":              {in: complete[:20], rest: complete[:20]},
		"complete and more": {in: complete + "Q", want: Startup{Code: ProtocolVersion, Params: map[string]string{"user": "worker", "database": "catalog"}}, rest: "Q", ok: true},
		"request for TLS":   {in: "\x00\x00\x00\x08\x04\xd2\x16\x2f", want: Startup{Code: SSLRequest, Params: map[string]string{}}, ok: true},
		"to cancel": {in: "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x07\x01\x02\x03\x04",
			want: Startup{CancelRequest, map[string]string{}, 7, [4]byte{1, 2, 3, 4}}, ok: true},
		"to cancel, short": {in: "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x07", rest: "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x07", er: true},
		"too short":        {in: "\x00\x00\x00\x07\x00\x03\x00\x00", rest: "\x00\x00\x00\x07\x00\x03\x00\x00", er: true},
		"too long":         {in: "GET / HTTP/1.1\r\n", rest: "GET / HTTP/1.1\r\n", er: true},
		"name without end": {in: "\x00\x00\x00\x0a\x00\x03\x00\x00ab", rest: "\x00\x00\x00\x0a\x00\x03\x00\x00ab", er: true},
	} {
		s, rest, ok, err := NextStartup([]byte(c.in))
		if ok != c.ok || (err != nil) != c.er || string(rest) != c.rest {
			t.Errorf("%s: rest %q, complete %v, error %v", name, rest, ok, err)
		}
		if d := cmp.Diff(c.want, s); ok && d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

package discovery

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cloverrock/balance"
)

func TestDecode(t *testing.T) {
	names := Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	for name, c := range map[string]struct {
		in   string
		want List
		err  string // part of it
	}{
		"change": {
			in: `{"generation":41,"reset":false,"instances":[
				{"instanceId":"s-1","hostPort":"10.1.0.18:6543","zone":"b","machineType":"m2","cell":3,"lifecycle":"SERVING","weight":1.5,"startedAtMs":1767225600123,"rank":"source"},
				{"instanceId":"s-2","lifecycle":"DELETED","cell":3,"rank":"copy"}]}`,
			want: List{Generation: 41, Addresses: map[string]string{"s-1": "10.1.0.18:6543"}, Entries: []balance.Entry{
				{Host: "s-1", Zone: 1, Kind: 1, Group: 3, Phase: balance.Ready, Primary: true, Weight: 1.5, Born: 1767225600123e3},
				{Host: "s-2", Group: 3, Phase: balance.Gone, Weight: 1},
			}},
		},
		"whole and empty": {in: `{"generation":1,"reset":true}`, want: List{Generation: 1, Full: true, Addresses: map[string]string{}}},
		"not JSON":        {in: `{"generation":`, err: "list of hosts"},
		"wrong type":      {in: `{"generation":"x"}`, err: "generation"},
		"no id":           {in: `{"instances":[{"lifecycle":"SERVING","hostPort":"a:1"}]}`, err: "instances[0].instanceId"},
		"no address":      {in: `{"instances":[{"lifecycle":"DRAINING","instanceId":"s"}]}`, err: "instances[0].hostPort"},
		"unknown state":   {in: `{"instances":[{"lifecycle":"RESTING","instanceId":"s"}]}`, err: "instances[0].lifecycle"},
	} {
		got, err := Decode([]byte(c.in), names)
		if err == nil != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v", name, err)
		} else if d := cmp.Diff(c.want, got); err == nil && d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

func TestResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		in    string
		lines []string
		end   bool   // it is whole
		err   string // part of it
	}{
		"chunks that cut lines": {in: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nab\nc\r\n3;x=y\r\nd\n\n\r\n", lines: []string{"ab", "cd", ""}},
		"last chunk":            {in: head + "transfer-encoding: Chunked\r\n\r\n2\r\na\n\r\n0\r\nT: v\r\n\r\n", lines: []string{"a"}, end: true},
		"stated length":         {in: head + "Content-Length: 3\r\n\r\na\nb", lines: []string{"a"}, end: true},
		"no body":               {in: head + "Content-Length: 0\r\n\r\n", end: true},
		"until the end":         {in: head + "\r\na\nb\n", lines: []string{"a", "b"}},
		"status":                {in: "HTTP/1.1 503 Busy\r\n\r\n", err: "status"},
		"no HTTP":               {in: "SSH-2.0-x\r\n", err: "not an HTTP"},
		"other encoding":        {in: head + "Transfer-Encoding: gzip\r\n\r\n", err: "transfer encoding"},
		"bad length":            {in: head + "Content-Length: -1\r\n\r\n", err: "content length"},
		"bad size":              {in: head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", err: "chunk size"},
		"huge size":             {in: head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", err: "chunk size"},
		"chunk without end":     {in: head + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", err: "does not end"},
		"endless head":          {in: head + strings.Repeat("a: b\r\n", 8000), err: "too long"},
		"endless head line":     {in: head + strings.Repeat("a", 20000), err: "too long"},
		"endless line":          {in: head + "\r\n" + strings.Repeat("a", maxLine+1), err: "too long"},
	} {
		for _, step := range []int{1, 7, len(c.in)} {
			if step < 7 && len(c.in) > 1e5 {
				continue
			}
			var r response
			var got []string
			var err error
			for at := 0; at < len(c.in) && err == nil; at += step {
				err = r.feed([]byte(c.in[at:min(at+step, len(c.in))]), func(b []byte) error {
					got = append(got, string(b))
					return nil
				})
			}
			if c.end != errors.Is(err, errEnd) || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) || c.err == "" && !c.end && err != nil {
				t.Errorf("%s by %d: %v", name, step, err)
			}
			if d := cmp.Diff(c.lines, got); c.err == "" && d != "" {
				t.Errorf("%s by %d: %s", name, step, d)
			}
		}
	}
}

package pgwire

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestNext(t *testing.T) {
	for name, c := range map[string]struct {
		in, body, rest string
		ok             bool
		err            error
	}{
		"nothing":        {},
		"part of a head": {in: "Q\x00\x00", rest: "Q\x00\x00"},
		"part of a body": {in: "Q\x00\x00\x00\x08ab", rest: "Q\x00\x00\x00\x08ab"},
		"whole":          {in: "Q\x00\x00\x00\x06ab", body: "ab", ok: true},
		"whole and more": {in: "Q\x00\x00\x00\x06abX", body: "ab", rest: "X", ok: true},
		"length too low": {in: "Q\x00\x00\x00\x03", rest: "Q\x00\x00\x00\x03", err: ErrLength},
		"length over":    {in: "Q\x7f\xff\xff\xff", rest: "Q\x7f\xff\xff\xff", err: ErrTooLarge},
		"length below 0": {in: "Q\xff\xff\xff\xff", rest: "Q\xff\xff\xff\xff", err: ErrTooLarge},
	} {
		m, rest, ok, err := Next([]byte(c.in))
		if string(m.Body) != c.body || string(rest) != c.rest || ok != c.ok || !errors.Is(err, c.err) {
			t.Errorf("%s: got %q, rest %q, %v, %v", name, m.Body, rest, ok, err)
		}
	}
}

func TestNextHost(t *testing.T) {
	row := string(AppendRow(nil, "body", "value"))
	data := row[strings.IndexByte(row, 'D'):]
	for name, c := range map[string]struct {
		in      string
		ok, bad bool
	}{
		"nothing":                 {},
		"type alone":              {in: "D"},
		"whole":                   {in: row, ok: true},
		"ready":                   {in: "Z\x00\x00\x00\x05I", ok: true},
		"noise":                   {in: "\x00", bad: true},
		"a client's message":      {in: "Q", bad: true},
		"3 GB":                    {in: "D\xb2\xd0\x5e\x00", bad: true},
		"ready too long":          {in: "Z\x00\x00\x00\x06I", bad: true},
		"below its least":         {in: "T\x00\x00\x00\x04", bad: true},
		"value begun":             {in: data[:12]},
		"value shorter":           {in: data[:10] + "\x04" + data[11:], bad: true},
		"value longer":            {in: data[:10] + "\x06" + data[11:], bad: true},
		"value of 3 GB":           {in: data[:7] + "\xb2\xd0\x5e\x00", bad: true},
		"two columns":             {in: data[:6] + "\x02" + data[7:], bad: true},
		"null":                    {in: "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff", bad: true},
		"the largest value":       {in: string(AppendRow(nil, "body", strings.Repeat("v", MaxValue))), ok: true},
		"larger than the largest": {in: "D\x00\x10\x00\x00", bad: true},
	} {
		if _, _, ok, err := NextHost([]byte(c.in)); ok != c.ok || (err != nil) != c.bad {
			t.Errorf("%s: %v, %v", name, ok, err)
		}
	}
	if v, ok := OnlyColumn([]byte(data[5:])); string(v) != "value" || !ok {
		t.Errorf("value is %q, %v", v, ok)
	}
	if head := []byte(row[5:strings.IndexByte(row, 'D')]); !OneColumn(head) || OneColumn(head[:len(head)-1]) || OneColumn(append(head, 0)) {
		t.Error("description of one column")
	}
}

func TestNextStartup(t *testing.T) {
	whole := string(AppendStartup(nil, "user", "worker", "database", "catalog"))
	for name, c := range map[string]struct {
		in     string
		want   Startup
		rest   string
		ok, er bool
	}{
		"nothing":         {},
		"part":            {in: whole[:20], rest: whole[:20]},
		"whole and more":  {in: whole + "Q", want: Startup{Code: ProtocolVersion, Params: map[string]string{"user": "worker", "database": "catalog"}}, rest: "Q", ok: true},
		"request for TLS": {in: "\x00\x00\x00\x08\x04\xd2\x16\x2f", want: Startup{Code: SSLRequest, Params: map[string]string{}}, ok: true},
		"to cancel": {in: "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x07\x01\x02\x03\x04",
			want: Startup{CancelRequest, map[string]string{}, 7, [4]byte{1, 2, 3, 4}}, ok: true},
		"to cancel, short": {in: "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x07", rest: "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x07", er: true},
		"too short":        {in: "\x00\x00\x00\x07\x00\x03\x00\x00", rest: "\x00\x00\x00\x07\x00\x03\x00\x00", er: true},
		"too long":         {in: "GET / HTTP/1.1\r\n", rest: "GET / HTTP/1.1\r\n", er: true},
		"name without end": {in: "\x00\x00\x00\x0a\x00\x03\x00\x00ab", rest: "\x00\x00\x00\x0a\x00\x03\x00\x00ab", er: true},
	} {
		s, rest, ok, err := NextStartup([]byte(c.in))
		if ok != c.ok || (err != nil) != c.er || string(rest) != c.rest {
			t.Errorf("%s: rest %q, %v, %v", name, rest, ok, err)
		}
		if d := cmp.Diff(c.want, s); ok && d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

func TestParseQuery(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want Query
		sent string // with 250 ms left; "" if the query is turned down
	}{
		"read": {
			in:   "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'",
			want: Query{ID: "9b1f", Class: "basket", Cluster: 2, Wait: 480e3, After: 1767225600123e3, Key: "7f3a9c21e0b4d655", HasKey: true},
			sent: "/* id=9b1f,c=basket,d=250,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'",
		},
		"other names and order": {
			in:   "/*cluster=0,k=ab,c=order,new=,odd,d=0480 ,id = A-1_ */ INSERT INTO objects VALUES (1)",
			want: Query{ID: "A-1_", Class: "order", Wait: 480e3},
			sent: "/*cluster=0,k=ab,c=order,new=,odd,d=250 ,id = A-1_ */ INSERT INTO objects VALUES (1)",
		},
		"no wait":         {in: "/* id=1,c=a,cluster=1 */ SELECT 'open", want: Query{ID: "1", Class: "a", Cluster: 1, Wait: -1}, sent: "/* id=1,c=a,cluster=1 */ SELECT 'open"},
		"commit up":       {in: "/* id=1,c=a,cluster=1,after=5.0001 */ S", want: Query{ID: "1", Class: "a", Cluster: 1, Wait: -1, After: 5001}, sent: "/* id=1,c=a,cluster=1,after=5.0001 */ S"},
		"no comment":      {in: "SELECT 1"},
		"open comment":    {in: "/* c=a,cluster=1 SELECT 1"},
		"no class":        {in: "/* id=1,cluster=1 */ SELECT 1"},
		"no cluster":      {in: "/* id=1,c=a */ SELECT 1"},
		"no id":           {in: "/* c=a,cluster=1 */ SELECT 1"},
		"empty id":        {in: "/* id=,c=a,cluster=1 */ SELECT 1"},
		"odd id":          {in: "/* id=a'b,c=a,cluster=1 */ SELECT 1"},
		"endless id":      {in: "/* id=" + strings.Repeat("a", 65) + ",c=a,cluster=1 */ SELECT 1"},
		"two ids":         {in: "/* id=1,c=a,cluster=1,id=2 */ SELECT 1"},
		"bad wait":        {in: "/* id=1,c=a,cluster=1,d=-4 */ SELECT 1"},
		"wait in words":   {in: "/* id=1,c=a,cluster=1,d=soon */ SELECT 1"},
		"no time":         {in: "/* id=1,c=a,cluster=1,d=0 */ SELECT 1"},
		"two hours":       {in: "/* id=1,c=a,cluster=1,d=7200000 */ SELECT 1"},
		"bad cluster":     {in: "/* id=1,c=a,cluster=x */ SELECT 1"},
		"cluster below 0": {in: "/* id=1,c=a,cluster=-1 */ SELECT 1"},
		"huge cluster":    {in: "/* id=1,c=a,cluster=9223372036854775807 */ SELECT 1"},
		"after below 0":   {in: "/* id=1,c=a,cluster=1,after=-1 */ SELECT 1"},
		"huge after":      {in: "/* id=1,c=a,cluster=1,after=99999999999999999999 */ SELECT 1"},
	} {
		q, err := ParseQuery([]byte(c.in))
		if (err != nil) != (c.sent == "") {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil {
			continue
		}
		if d := cmp.Diff(c.want, *q, cmpopts.IgnoreUnexported(Query{})); d != "" {
			t.Errorf("%s: %s", name, d)
		}
		if m, _, _, _ := Next(q.Append(nil, 250_999)); string(m.Body) != c.sent+"\x00" {
			t.Errorf("%s: sent %q", name, m.Body)
		}
	}
}

func TestDecimal(t *testing.T) {
	for _, c := range []struct {
		in       string
		scale    int
		down, up int64
		bad      bool
	}{
		{in: "1767225600123", scale: 3, down: 1767225600123000, up: 1767225600123000},
		{in: "1767225600.123", scale: 6, down: 1767225600123000, up: 1767225600123000},
		{in: "1.2345678", scale: 6, down: 1234567, up: 1234568},
		{in: "0.5", scale: 0, down: 0, up: 1}, {in: "2.000", scale: 0, down: 2, up: 2},
		{in: "", bad: true}, {in: ".", bad: true}, {in: "-1", bad: true}, {in: "1.2.3", bad: true}, {in: "1e3", bad: true},
		{in: strings.Repeat("9", 40), bad: true}, {in: "99999999999999999", scale: 6, bad: true},
	} {
		down, err := Decimal(c.in, c.scale, false)
		up, _ := Decimal(c.in, c.scale, true)
		if (err != nil) != c.bad || err == nil && (down != c.down || up != c.up) {
			t.Errorf("%q: got %d and %d, %v", c.in, down, up, err)
		}
	}
}

func TestCommand(t *testing.T) {
	for in, want := range map[string]string{
		"": "", " ;\n": "", "set x=1": "SET", "DISCARD ALL;": "DISCARD", "/* c=a */ SET x": "/*", "RESET;": "RESET",
	} {
		if got := Command(in); got != want {
			t.Errorf("%q: got %q", in, got)
		}
	}
}

func TestErrorRoundTrip(t *testing.T) {
	want := Error{Severity: "ERROR", Code: CodeTooManyConnections, Message: "full", Detail: "150"}
	m, _, _, _ := Next(AppendError(nil, want))
	got, whole := ParseError(m.Body)
	if d := cmp.Diff(want, got); m.Type != 'E' || d != "" || !whole {
		t.Error(whole, d)
	}
	for _, bad := range []string{"", "Sopen", "\x00", "SERROR\x00C53300\x00", "SERROR\x00C53300\x00\x00more", "SERROR\x00C5330\x00\x00", "C53300\x00\x00"} {
		if e, whole := ParseError([]byte(bad)); whole {
			t.Errorf("%q is taken as %+v", bad, e)
		}
	}
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte("/* c=a,cluster=1,d=5 */ SELECT 'x'"))
	f.Add(AppendRow(nil, "body", "v"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if q, err := ParseQuery(b); err == nil {
			q.Append(nil, 1)
		}
		_, _, _, _ = NextStartup(b)
		if m, _, ok, _ := Next(b); ok {
			ParseError(m.Body)
			OnlyColumn(m.Body)
			OneColumn(m.Body)
		}
	})
}

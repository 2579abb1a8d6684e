package pgwire

import (
	"errors"
	"strings"
	"testing"
)

// An incomplete message is left in the input. A message with an invalid length is rejected at once.
func TestNextSplitsOffOneMessageOrRejectsItsLength(t *testing.T) {
	for name, c := range map[string]struct {
		in, body, rest string
		ok             bool
		err            error
	}{
		"nothing":           {},
		"part of a head":    {in: "Q\x00\x00", rest: "Q\x00\x00"},
		"part of a body":    {in: "Q\x00\x00\x00\x08ab", rest: "Q\x00\x00\x00\x08ab"},
		"complete":          {in: "Q\x00\x00\x00\x06ab", body: "ab", ok: true},
		"complete and more": {in: "Q\x00\x00\x00\x06abX", body: "ab", rest: "X", ok: true},
		"length too low":    {in: "Q\x00\x00\x00\x03", rest: "Q\x00\x00\x00\x03", err: ErrLength},
		"length over":       {in: "Q\x7f\xff\xff\xff", rest: "Q\x7f\xff\xff\xff", err: ErrTooLarge},
		"length below 0":    {in: "Q\xff\xff\xff\xff", rest: "Q\xff\xff\xff\xff", err: ErrTooLarge},
	} {
		m, rest, ok, err := Next([]byte(c.in))
		if string(m.Body) != c.body || string(rest) != c.rest || ok != c.ok || !errors.Is(err, c.err) {
			t.Errorf("%s: body %q, rest %q, complete %v, error %v", name, m.Body, rest, ok, err)
		}
	}
}

// Input of a host is rejected as soon as it cannot be the start of a message that may belong to an answer.
func TestNextHostRejectsWhatCannotBecomeAnAnswer(t *testing.T) {
	row := string(AppendRow(nil, "body", "value"))
	data := row[strings.IndexByte(row, MsgDataRow):]
	for name, c := range map[string]struct {
		in      string
		ok, bad bool
	}{
		"nothing":                 {},
		"type alone":              {in: "D"},
		"complete":                {in: row, ok: true},
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
			t.Errorf("%s: complete %v, error %v", name, ok, err)
		}
	}
}

// The parsers do not panic on any input.
func FuzzParsers(f *testing.F) {
	f.Add([]byte("/* c=a,cluster=1,d=5 */ SELECT 'x'"))
	f.Add(AppendRow(nil, "body", "v"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if q, err := ParseQuery(b); err == nil {
			q.Append(nil, 1)
		}
		_, _, _, _ = NextStartup(b)
		if m, _, ok, _ := Next(b); ok {
			ParseError(m.Body)
			OnlyColumn(m.Body)
			HasOneColumn(m.Body)
		}
	})
}

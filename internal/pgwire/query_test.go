package pgwire

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// A query is parsed from its comment or rejected. It is forwarded unchanged except for the wait.
func TestQueryIsForwardedUnchangedButForTheWait(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want Query
		sent string // text sent with 250 ms left; "" if the query is rejected
	}{
		"read": {
			in:   "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'",
			want: Query{ID: "9b1f", Class: "basket", Group: 2, Wait: 480e3, MinPosition: 1767225600123e3, Key: "7f3a9c21e0b4d655", HasKey: true},
			sent: "/* id=9b1f,c=basket,d=250,cluster=2,after=1767225600123 */ SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'",
		},
		"other names and order": {
			in:   "/*cluster=0,k=ab,c=order,new=,odd,d=0480 ,id = A-1_ */ INSERT INTO objects VALUES (1)",
			want: Query{ID: "A-1_", Class: "order", Wait: 480e3},
			sent: "/*cluster=0,k=ab,c=order,new=,odd,d=250 ,id = A-1_ */ INSERT INTO objects VALUES (1)",
		},
		"no wait":         {in: "/* id=1,c=a,cluster=1 */ SELECT 'open", want: Query{ID: "1", Class: "a", Group: 1, Wait: -1}, sent: "/* id=1,c=a,cluster=1 */ SELECT 'open"},
		"commit up":       {in: "/* id=1,c=a,cluster=1,after=5.0001 */ S", want: Query{ID: "1", Class: "a", Group: 1, Wait: -1, MinPosition: 5001}, sent: "/* id=1,c=a,cluster=1,after=5.0001 */ S"},
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

// The command is the first word in upper case, or the start of a comment.
func TestCommandIsTheFirstWordInCapitals(t *testing.T) {
	for in, want := range map[string]string{
		"": "", " ;\n": "", "set x=1": "SET", "DISCARD ALL;": "DISCARD", "/* c=a */ SET x": "/*", "RESET;": "RESET",
	} {
		if got := Command(in); got != want {
			t.Errorf("%q: got %q", in, got)
		}
	}
}

package pgwire

import (
	"bytes"
	"encoding/hex"
	"testing"

	"cloverrock/internal/golden"
)

// Each message has the same bytes as ever, and is cut off as one message of its type, with nothing left.
func TestGoldenMessages(t *testing.T) {
	query, err := ParseQuery([]byte("/*id=r-1,c=read,d=80.5,cluster=7,after=1.0005*/ GET 'ff'"))
	if err != nil || query.ID != "r-1" || query.Class != "read" || query.Wait != 80_500 || query.Cluster != 7 || query.After != 1001 || query.KeyID() != 255 {
		t.Fatalf("read as %v, %v", query, err)
	}
	failed := Error{"FATAL", CodeTooManyConnections, "message", "detail"}
	cases := []golden.Case{
		{Name: "Q", Form: string(AppendQuery(nil, "select ü"))},
		{Name: "Q with another wait", Form: string(query.Append(nil, 12_345))},
		{Name: "X", Form: string(AppendTerminate(nil))},
		{Name: "R", Form: string(AppendAuthenticationOk(nil))},
		{Name: "v", Form: string(AppendNegotiate(nil))},
		{Name: "S", Form: string(AppendParameterStatus(nil, "name", "value"))},
		{Name: "K", Form: string(AppendBackendKeyData(nil, 1<<32-1, [4]byte{0, 1, 254, 255}))},
		{Name: "Z", Form: string(AppendReadyForQuery(nil))},
		{Name: "I", Form: string(AppendEmptyQuery(nil))},
		{Name: "C", Form: string(AppendCommandComplete(nil, "SELECT 1"))},
		{Name: "T and D", Form: string(AppendRow(nil, "column", "value"))},
		{Name: "T and D, empty", Form: string(AppendRow(nil, "", ""))},
		{Name: "E", Form: string(AppendError(nil, failed))},
		{Name: "E without detail", Form: string(AppendError(nil, Error{Severity: "ERROR", Code: CodeReadOnly, Message: "m"}))},
		{Name: "startup", Form: string(AppendStartup(nil, "user", "u", "database", "d"))},
	}
	for i := range cases {
		cases[i].Form = hex.EncodeToString([]byte(cases[i].Form))
	}
	stored := golden.Check(t, "messages.golden", cases)
	message := func(name string) []byte {
		b, err := hex.DecodeString(stored[name])
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, c := range cases[:len(cases)-1] {
		m, rest, whole, err := Next(message(c.Name))
		if err != nil || !whole || m.Type != c.Name[0] {
			t.Errorf("%s is cut as %v, %v, %v", c.Name, m, whole, err)
		}
		if m.Type == 'T' {
			row, left, whole, err := NextHost(rest)
			value, only := OnlyColumn(row.Body)
			if rest = left; err != nil || !whole || row.Type != 'D' || !only || !bytes.Equal(value, []byte("value")) && len(value) != 0 || !OneColumn(m.Body) {
				t.Errorf("%s has the row %v, %v, %v", c.Name, row, whole, err)
			}
		}
		if len(rest) != 0 {
			t.Errorf("%s leaves %x", c.Name, rest)
		}
	}
	if read, whole := ParseError(message("E")[5:]); !whole || read != failed {
		t.Errorf("the error is read as %v, %v", read, whole)
	}
	startup, rest, whole, err := NextStartup(message("startup"))
	if err != nil || !whole || len(rest) != 0 || startup.Code != ProtocolVersion || startup.Params["user"] != "u" || startup.Params["database"] != "d" {
		t.Errorf("the startup is read as %v, %v, %v", startup, whole, err)
	}
	cancel, _, whole, err := NextStartup([]byte{0, 0, 0, 16, 4, 210, 22, 46, 1, 2, 3, 4, 5, 6, 7, 8})
	if err != nil || !whole || cancel.Code != CancelRequest || cancel.PID != 0x01020304 || cancel.Secret != [4]byte{5, 6, 7, 8} {
		t.Errorf("the cancel request is read as %v, %v, %v", cancel, whole, err)
	}
}

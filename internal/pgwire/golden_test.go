package pgwire

import (
	"bytes"
	"encoding/hex"
	"testing"

	"cloverrock/internal/golden"
)

// The encoding of each message does not change, and it parses as one message of its type.
func TestGoldenMessages(t *testing.T) {
	cases := encodedMessages(t)
	stored := golden.Check(t, "messages.golden", cases)
	message := func(name string) []byte {
		b, err := hex.DecodeString(stored[name])
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, c := range cases {
		if c.Name != "startup" {
			wantOneMessage(t, c.Name, message(c.Name))
		}
	}
	if read, ok := ParseError(message("E")[headerSize:]); !ok || read != goldenError {
		t.Errorf("the error was parsed as %v, %v, want goldenError", read, ok)
	}
	wantStartup(t, message("startup"))
}

var goldenError = ErrorResponse{"FATAL", CodeTooManyConnections, "message", "detail"}

func encodedMessages(t *testing.T) []golden.Case {
	t.Helper()
	query, err := ParseQuery([]byte("/*id=r-1,c=read,d=80.5,cluster=7,after=1.0005*/ GET 'ff'"))
	if err != nil || query.ID != "r-1" || query.Class != "read" || query.Wait != 80_500 || query.Group != 7 || query.MinPosition != 1001 || query.KeyID() != 255 {
		t.Fatalf("the query was parsed as %v, %v, want the values of its comment", query, err)
	}
	cases := []golden.Case{
		{Name: "Q", Form: string(AppendQuery(nil, "select ü"))},
		{Name: "Q with another wait", Form: string(query.Append(nil, 12_345))},
		{Name: "X", Form: string(AppendTerminate(nil))},
		{Name: "R", Form: string(AppendAuthenticationOk(nil))},
		{Name: "v", Form: string(AppendNegotiateProtocolVersion(nil))},
		{Name: "S", Form: string(AppendParameterStatus(nil, "name", "value"))},
		{Name: "K", Form: string(AppendBackendKeyData(nil, 1<<32-1, [4]byte{0, 1, 254, 255}))},
		{Name: "Z", Form: string(AppendReadyForQuery(nil))},
		{Name: "I", Form: string(AppendEmptyQuery(nil))},
		{Name: "C", Form: string(AppendCommandComplete(nil, "SELECT 1"))},
		{Name: "T and D", Form: string(AppendRow(nil, "column", "value"))},
		{Name: "T and D, empty", Form: string(AppendRow(nil, "", ""))},
		{Name: "E", Form: string(AppendError(nil, goldenError))},
		{Name: "E without detail", Form: string(AppendError(nil, ErrorResponse{Severity: "ERROR", Code: CodeReadOnly, Message: "m"}))},
		{Name: "startup", Form: string(AppendStartup(nil, "user", "u", "database", "d"))},
	}
	for i := range cases {
		cases[i].Form = hex.EncodeToString([]byte(cases[i].Form))
	}
	return cases
}

// wantOneMessage checks that b is one message, or a description with one row. Its type must be the first letter of name.
func wantOneMessage(t *testing.T, name string, b []byte) {
	t.Helper()
	message, rest, complete, err := Next(b)
	if err != nil || !complete || message.Type != name[0] {
		t.Errorf("%s was parsed as %v, complete %v, %v, want one message of that type", name, message, complete, err)
	}
	if message.Type == MsgRowDescription {
		if !HasOneColumn(message.Body) {
			t.Errorf("%s: the description was rejected, want one of one column", name)
		}
		rest = wantRow(t, name, rest)
	}
	if len(rest) != 0 {
		t.Errorf("%s: %x is left after the message, want nothing", name, rest)
	}
}

// wantRow checks that b begins with a row of one column, and returns the bytes after it.
func wantRow(t *testing.T, name string, b []byte) (rest []byte) {
	t.Helper()
	row, rest, complete, err := NextHost(b)
	if err != nil || !complete || row.Type != MsgDataRow {
		t.Errorf("%s: the row was parsed as %v, complete %v, %v, want a DataRow", name, row, complete, err)
	}
	value, ok := OnlyColumn(row.Body)
	if !ok || len(value) != 0 && !bytes.Equal(value, []byte("value")) {
		t.Errorf("%s: value %q, %v, want \"value\" or an empty one", name, value, ok)
	}
	return rest
}

// wantStartup checks that b is the expected startup message, and that a cancel request is recognized.
func wantStartup(t *testing.T, b []byte) {
	t.Helper()
	startup, rest, complete, err := NextStartup(b)
	if err != nil || !complete || len(rest) != 0 {
		t.Errorf("the startup was parsed as %v, rest %x, complete %v, %v, want one message and no rest",
			startup, rest, complete, err)
	}
	if startup.Code != ProtocolVersion || startup.Params["user"] != "u" || startup.Params["database"] != "d" {
		t.Errorf("the startup was parsed as %v, want version 3.0, user u and database d", startup)
	}
	cancel, _, complete, err := NextStartup([]byte{0, 0, 0, 16, 4, 210, 22, 46, 1, 2, 3, 4, 5, 6, 7, 8})
	if err != nil || !complete || cancel.Code != CancelRequest || cancel.PID != 0x01020304 || cancel.Secret != [4]byte{5, 6, 7, 8} {
		t.Errorf("the cancel request was parsed as %v, complete %v, %v, want its process id and secret",
			cancel, complete, err)
	}
}

package pgwire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A parsed error equals the one that was encoded. An incomplete error, or one without a valid code, is rejected.
func TestErrorIsParsedAsItWasAppended(t *testing.T) {
	want := ErrorResponse{Severity: "ERROR", Code: CodeTooManyConnections, Message: "full", Detail: "150"}
	m, _, _, _ := Next(AppendError(nil, want))
	got, ok := ParseError(m.Body)
	if d := cmp.Diff(want, got); m.Type != 'E' || d != "" || !ok {
		t.Error(ok, d)
	}
	for _, bad := range []string{"", "Sopen", "\x00", "SERROR\x00C53300\x00", "SERROR\x00C53300\x00\x00more", "SERROR\x00C5330\x00\x00", "C53300\x00\x00"} {
		if e, ok := ParseError([]byte(bad)); ok {
			t.Errorf("%q was parsed as %+v, want it rejected", bad, e)
		}
	}
}

package simprotocol

import (
	"errors"
	"testing"

	"cloverrock/balance"
)

func TestErrorsNameTheWordOfTheLine(t *testing.T) {
	for line, word := range map[string]string{
		"call ticket=x":                         "call",
		"call dropDeadMs=soon":                  "call",
		"completed status=strange":              "completed",
		"check_result status=":                  "check_result",
		"completed status=done feedback=x0:far": "feedback",
		"topology buffer=16":                    "topology",
		"message contents=zz":                   "message",
	} {
		var ev balance.Event
		err := NewCodec().ParseEvent(ParseLine([]byte(line)), 0, &ev)
		if faulty, ok := errors.AsType[*LineError](err); !ok || faulty.Word != word {
			t.Errorf("%s: got error %v, want a *LineError with the word", line, err)
		}
	}
}

func TestUnknownMessageIsReportedAsErrUnknownMessage(t *testing.T) {
	var ev balance.Event
	if err := NewCodec().ParseEvent(ParseLine([]byte("strange who=1")), 0, &ev); !errors.Is(err, ErrUnknownMessage) {
		t.Error(err)
	}
}

// A number that does not fit into 63 bits must be an error. Converted without a check, it would become another number.
func TestNumbersBeyond63BitsAreErrors(t *testing.T) {
	for _, text := range []string{
		"9223372036854775808", "9999999999999999999", "-9223372036854775809", "99999999999999999999", "1e19", "-1e300",
	} {
		r := valueReader{line: ParseLine([]byte("call ticket=" + text))}
		if got := r.int("ticket"); r.err == nil {
			t.Errorf("%s was read as %d without an error", text, got)
		}
	}
}

func TestNumbersMayBeSignedLongOrWholeFractions(t *testing.T) {
	for text, want := range map[string]int64{
		"7":                    7,
		"-7":                   -7,
		"+7":                   7,
		"7.0":                  7,
		"7e2":                  700,
		"007":                  7,
		"9223372036854775807":  1<<63 - 1,
		"-9223372036854775808": -1 << 63,
	} {
		r := valueReader{line: ParseLine([]byte("call ticket=" + text))}
		if got := r.int("ticket"); got != want || r.err != nil {
			t.Errorf("%s was read as %d with error %v", text, got, r.err)
		}
	}
	for _, text := range []string{"", "x", "1.5", "0x5"} {
		r := valueReader{line: ParseLine([]byte("call ticket=" + text))}
		if got := r.int("ticket"); r.err == nil {
			t.Errorf("%q was read as %d without an error", text, got)
		}
	}
}

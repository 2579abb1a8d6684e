package membership

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"cloverrock/internal/golden"
)

// What a member says is headed by its name as ever, and is heard under that name.
func TestGoldenMessages(t *testing.T) {
	tests := []struct{ name, from, said string }{
		{"nothing", "a", ""},
		{"usual", "edge-1", "\x00message\xff"},
		{"longest name", strings.Repeat("n", 255), "m"},
	}
	var cases []golden.Case
	for _, test := range tests {
		m := &Members{conf: Config{Name: test.from}}
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(m.withSender([]byte(test.said)))})
	}
	stored := golden.Check(t, "messages.golden", cases)
	for _, test := range tests {
		b, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		heard := false
		m := &Members{conf: Config{OnMessage: func(from string, said []byte) {
			heard = from == test.from && bytes.Equal(said, []byte(test.said))
		}}}
		(*delegate)(m).NotifyMsg(b)
		if !heard {
			t.Errorf("%s is not heard as it was said", test.name)
		}
	}
}

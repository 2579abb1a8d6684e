package membership

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"cloverrock/internal/golden"
)

// The encoding of a message with its sender must not change, and must decode to the same sender and content.
func TestGoldenMessages(t *testing.T) {
	tests := []struct{ name, from, content string }{
		{"nothing", "a", ""},
		{"usual", "edge-1", "\x00message\xff"},
		{"longest name", strings.Repeat("n", 255), "m"},
	}
	var cases []golden.Case
	for _, test := range tests {
		m := &Members{conf: Config{Name: test.from}}
		cases = append(cases, golden.Case{Name: test.name, Form: hex.EncodeToString(m.withSender([]byte(test.content)))})
	}
	stored := golden.Check(t, "messages.golden", cases)
	for _, test := range tests {
		b, err := hex.DecodeString(stored[test.name])
		if err != nil {
			t.Fatal(err)
		}
		received := false
		m := &Members{conf: Config{OnMessage: func(from string, content []byte) {
			received = from == test.from && bytes.Equal(content, []byte(test.content))
		}}}
		(*delegate)(m).NotifyMsg(b)
		if !received {
			t.Errorf("%s: the received sender or content differs from what was sent", test.name)
		}
	}
}

package settings

import (
	"strings"
	"testing"
)

func TestDocumentsAreValidatedByTheirSchema(t *testing.T) {
	schema := []byte(`{"type":"object","properties":{"n":{"type":"integer"}}}`)
	for _, c := range []struct{ name, body, want string }{
		{"gateway", `{"discovery":"127.0.0.1:8500","instances":{"a":{"discovery":"127.0.0.1:8501"}}}`, ""},
		{"gateway", `{"discovery":"somewhere"}`, "discovery"},
		{"gateway", `{"instances":{"a":{"listen":"x"}}}`, "instances"},
		{"own", `{"n":1}`, ""}, {"own", `{"n":"x"}`, "n: "}, {"own.schema", `{"type":"object"}`, ""}, {"own.schema", `{"type":7}`, "schema"},
	} {
		err := ValidateDocument(c.name, []byte(c.body), schema)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %v", c.name, c.body, err)
		}
	}
}

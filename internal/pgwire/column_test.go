package pgwire

import (
	"bytes"
	"testing"
)

// A value is read only from a row with a single column, and a description must describe one column and nothing else.
func TestOneColumnAndItsValueAreRead(t *testing.T) {
	row := AppendRow(nil, "body", "value")
	description, rest, _, err := NextHost(row)
	if err != nil {
		t.Fatal(err)
	}
	data, _, _, err := NextHost(rest)
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := OnlyColumn(data.Body); string(v) != "value" || !ok {
		t.Errorf("value is %q, %v, want \"value\"", v, ok)
	}
	for name, body := range map[string][]byte{
		"empty":          nil,
		"no length":      data.Body[:5],
		"two columns":    append([]byte{0, 2}, data.Body[2:]...),
		"value too long": append(bytes.Clone(data.Body), 0),
		"value cut off":  data.Body[:len(data.Body)-1],
		"null":           {0, 1, 0xff, 0xff, 0xff, 0xff},
	} {
		if v, ok := OnlyColumn(body); ok {
			t.Errorf("%s: value is %q, want none", name, v)
		}
	}
	if !HasOneColumn(description.Body) {
		t.Error("the description of one column was rejected")
	}
	for name, body := range map[string][]byte{
		"empty":    nil,
		"cut off":  description.Body[:len(description.Body)-1],
		"too long": append(bytes.Clone(description.Body), 0),
	} {
		if HasOneColumn(body) {
			t.Errorf("%s: accepted as the description of one column", name)
		}
	}
}

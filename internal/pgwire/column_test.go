package pgwire

import (
	"bytes"
	"testing"
)

// A value is taken from a row of one column only, and a description must be of one column and nothing else.
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
		t.Errorf("value is %q, %v", v, ok)
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
			t.Errorf("%s: value is %q", name, v)
		}
	}
	if !OneColumn(description.Body) {
		t.Error("the description is not of one column")
	}
	for name, body := range map[string][]byte{
		"empty":    nil,
		"cut off":  description.Body[:len(description.Body)-1],
		"too long": append(bytes.Clone(description.Body), 0),
	} {
		if OneColumn(body) {
			t.Errorf("%s: taken as one column", name)
		}
	}
}

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `"name":"a","data":"d","listen":"127.0.0.1:1","certificate":"a.pem","key":"k.pem","authority":"ca.pem"`

func TestFaultsAreNamed(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	for text, want := range map[string]string{
		`{"store":{` + good + `}}`: "",
		`{}`:                       "",
		`{"store":{` + good + `},"learned":{"write_ms":1}}`:            "learned.write_ms",
		`{"store":{"name":"a"}}`:                                       "store",
		`{"store":{` + strings.Replace(good, `"a"`, `"a b"`, 1) + `}}`: "store.name",
		`{"store":{` + good + `,"tick_ms":"fast"}}`:                    "store.tick_ms",
		`{"store":{` + good + `,"routes":{"b":"nowhere"}}}`:            "store.routes",
		`{"learned":{}}`: "store",
		`{"fleet":{"listen":"10.0.0.1:7947","join":["10.0.0.2:7947"],"zones":{"pin":{"a":"left"}}}}`: "",
		`{"fleet":{"zones":{}}}`:      "fleet",
		`{"fleet":{"listen":"here"}}`: "fleet.listen",
		`{"fleet":{"listen":"10.0.0.1:7947","zones":{"pin":{"a":"gone"}}}}`:       "fleet.zones.pin",
		`{"fleet":{"listen":"10.0.0.1:7947","zones":{"step_ms":1}}}`:              "fleet.zones.step_ms",
		`{"fleet":{"listen":"10.0.0.1:7947","zones":{"without":["everything"]}}}`: "fleet.zones.without",
		`{"stor":{}}`: "stor",
		`{"store":`:   "not JSON",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		if (err == nil) != (want == "") || err != nil && (!strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
		if err == nil && s.Store != nil && s.Store.Data != filepath.Join(dir, "d") {
			t.Errorf("data is %s", s.Store.Data)
		}
	}
}

func TestDocumentsKeepTheirForm(t *testing.T) {
	schema := []byte(`{"type":"object","properties":{"n":{"type":"integer"}}}`)
	for _, c := range []struct{ name, body, want string }{
		{"gateway", `{"discovery":"127.0.0.1:8500","instances":{"a":{"discovery":"127.0.0.1:8501"}}}`, ""},
		{"gateway", `{"discovery":"somewhere"}`, "discovery"},
		{"gateway", `{"instances":{"a":{"listen":"x"}}}`, "instances"},
		{"own", `{"n":1}`, ""}, {"own", `{"n":"x"}`, "n: "}, {"own.schema", `{"type":"object"}`, ""}, {"own.schema", `{"type":7}`, "schema"},
	} {
		err := Document(c.name, []byte(c.body), schema)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %v", c.name, c.body, err)
		}
	}
}

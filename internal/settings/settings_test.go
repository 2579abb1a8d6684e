package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validStore = `"name":"a","data":"d","listen":"127.0.0.1:1","certificate":"a.pem","key":"k.pem","authority":"ca.pem"`

func TestLoadErrorsNameFileAndKey(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	for text, want := range map[string]string{
		`{"store":{` + validStore + `}}`: "",
		`{}`:                             "",
		`{"store":{` + validStore + `},"learned":{"write_ms":1}}`:            "learned.write_ms",
		`{"store":{"name":"a"}}`:                                             "store",
		`{"store":{` + strings.Replace(validStore, `"a"`, `"a b"`, 1) + `}}`: "store.name",
		`{"store":{` + validStore + `,"tick_ms":"fast"}}`:                    "store.tick_ms",
		`{"store":{` + validStore + `,"routes":{"b":"nowhere"}}}`:            "store.routes",
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
		if (err == nil) != (want == "") {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
		if err != nil && (!strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%s: %v, want %q in %s", text, err, want, path)
		}
		if err == nil && s.Store != nil && s.Store.Data != filepath.Join(dir, "d") {
			t.Errorf("data is %s", s.Store.Data)
		}
	}
}

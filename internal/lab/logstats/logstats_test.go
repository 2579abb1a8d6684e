package logstats

import (
	"strings"
	"testing"
	"testing/fstest"
)

// Two gateways log in one second and one of them also in the next. Lines of other programs and other files are ignored.
func TestReadAddsUpOverGateways(t *testing.T) {
	dir := fstest.MapFS{
		"n0.log": {Data: []byte(`1.100 {"time":5,"group":3,"host":"s-a","message":"balance: primary confirmed"}
1.900 {"level":"debug","time":5,"requests":4,"probes":2,"attempts":{"s-a":[2,0,1,0,30],"s-b":[1,0,0,0,9]},"message":"counts"}
2.900 {"level":"debug","time":5,"requests":1,"attempts":{},"message":"counts"}
a line of another program
`)},
		"n1.log":   {Data: []byte(`1.200 {"requests":5,"probes":1,"attempts":{"s-a":[4,1,0,0,60]},"message":"counts"}` + "\n")},
		"notes.md": {Data: []byte(`1.200 {"requests":5,"message":"counts"}`)},
	}
	table, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(table) != 2 || table[0].Gateways != 2 || table[0].Sums["requests"] != 9 || table[0].Sums["probes"] != 3 ||
		table[0].Hosts["s-a"] != (Host{6, 1, 1, 0, 300}) || table[0].Changes["group 3 s-a"] != 1 || table[1].Sums["requests"] != 1 {
		t.Errorf("the sums are %+v", table)
	}
	var out strings.Builder
	if err := table.Print(&out); err != nil || strings.Count(out.String(), "\n") != 3 {
		t.Errorf("printed %q, error %v; expected a head and two lines", out.String(), err)
	}
	if _, err := Read(fstest.MapFS{}); err == nil {
		t.Error("Read accepts a directory without logs")
	}
}

package app

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Other programs read the line of counts, so its message and its fields must not change.
func TestCountsLineKeepsItsFields(t *testing.T) {
	log := make(logLines, 1024)
	gw := newHarness(t, 0)
	gw.log = zerolog.New(log).Level(zerolog.DebugLevel)
	gw.start()
	gw.exchange(gw.connect(), 1, "v")
	var line map[string]json.RawMessage
	if err := json.Unmarshal([]byte(log.waitFor(t, `"served":1`)), &line); err != nil {
		t.Fatal(err)
	}
	fields := strings.Join(slices.Sorted(maps.Keys(line)), " ")
	const want = "again attempts dials dials_failed failed heard level message probes probes_failed refused requests served told told_bytes"
	if fields != want {
		t.Errorf("fields %s\nwant   %s", fields, want)
	}
	if message := string(line["message"]); message != `"counts"` {
		t.Errorf("message %s", message)
	}
	var attempts map[string][]int // succeeded, failed, timed out, other, mean latency in ms
	if err := json.Unmarshal(line["attempts"], &attempts); err != nil {
		t.Fatal(err)
	}
	if n := attempts["s-0"]; len(n) != 5 || n[0] != 1 || n[1]+n[2]+n[3] != 0 {
		t.Errorf("attempts %v", attempts)
	}
}

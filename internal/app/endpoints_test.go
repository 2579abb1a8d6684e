package app

import (
	"strings"
	"testing"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// An empty query is answered as such only once the list is known.
func TestReadyOnlyWithAnEndpointList(t *testing.T) {
	r := startGateway(t, 0, func(c *config.Config) { c.KnownEndpoints = nil })
	cl := r.connect()
	cl.query("")
	cl.want("error " + pgwire.CodeCannotConnectNow)
	r.nextWatch().writeChunk(`{"generation":8,"reset":true,"instances":` + r.instances() + `}`)
	for !r.hasGeneration(8) {
	}
	cl.query(" ;")
	cl.want("empty")
}

// After a bad line the watch begins anew where it stood, and the last list holds.
func TestLastListHoldsAfterAFaultyOne(t *testing.T) {
	r := startGateway(t, 0)
	for _, bad := range []string{`{"generation":9,"instances":[{"lifecycle":"?"}]}`, `{"generation":`, "\x00"} {
		r.nextWatch().writeChunk(bad)
	}
	if a := r.nextWatch(); !strings.HasPrefix(a.request, "GET /api/targets?stream=1&index=7 ") {
		t.Errorf("asked %q", a.request)
	}
	cl := r.connect()
	cl.query(queryText(writeForm, 1))
	r.hosts[0].nextQuery().answer("v")
	cl.want("value v")
}

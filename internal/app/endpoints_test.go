package app

import (
	"strings"
	"testing"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// The gateway answers an empty query by an error until it has an endpoint list.
func TestReadyOnlyWithAnEndpointList(t *testing.T) {
	gw := startGateway(t, 0, func(c *config.Config) { c.KnownEndpoints = nil })
	client := gw.connect()
	client.query("")
	client.want("error " + pgwire.CodeCannotConnectNow)
	gw.nextWatch().writeChunk(`{"generation":8,"reset":true,"instances":` + gw.instances() + `}`)
	gw.waitForGeneration(8)
	client.query(" ;")
	client.want("empty")
}

// After a faulty list the watch reconnects from the last generation, and the last valid list stays in use.
func TestLastListHoldsAfterAFaultyOne(t *testing.T) {
	gw := startGateway(t, 0)
	for _, bad := range []string{`{"generation":9,"instances":[{"lifecycle":"?"}]}`, `{"generation":`, "\x00"} {
		gw.nextWatch().writeChunk(bad)
	}
	if watch := gw.nextWatch(); !strings.HasPrefix(watch.request, "GET /api/targets?stream=1&index=7 ") {
		t.Errorf("requested %q", watch.request)
	}
	gw.exchange(gw.connect(), 1, "v")
}

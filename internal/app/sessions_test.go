package app

import (
	"strconv"
	"testing"
	"time"

	"cloverrock/internal/config"
	"cloverrock/internal/pgwire"
)

// A read of the session that the writes of writeFormat belong to, and a write of another session.
const (
	ownReadFormat    = "/* id=%d,c=own,d=%d,cluster=1 */ SELECT body FROM objects WHERE oid = 'k'"
	otherWriteFormat = "/* id=%d,c=change,d=%d,cluster=1 */ INSERT INTO objects VALUES ('other')"
)

// A write is served although the gateway never learns its commit's position, in each way in which that can happen. The
// session's next read then went to a replica without the write.
func TestSessionReadFollowsAWriteWhosePositionIsUnknown(t *testing.T) {
	position := func(value string) []byte {
		return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(nil, "as_of", value))
	}
	anHourAhead := strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)
	for name, end := range map[string][]byte{
		"the connection ends before the status": nil,
		"the status has no position":            pgwire.AppendReadyForQuery(nil),
		"the position is no number":             position("soon"),
		"the position is negative":              position("-1"),
		"the position is 0":                     position("0"),
		"the position is ahead of the clock":    position(anHourAhead),
	} {
		t.Run(name, func(t *testing.T) {
			gw := startGateway(t, 1, func(c *config.Config) { c.Settings.RequestsCarrySessionAge = false })
			gw.hosts[1].setPosition(time.Now().Add(-time.Second))
			client := gw.connect()
			client.query(queryText(otherWriteFormat, 1))
			gw.hosts[0].nextQuery().answer("other") // tells that s-0 is the primary
			client.want("value other")
			client.query(queryText(writeFormat, 2))
			write := gw.hosts[0].nextQuery()
			if _, err := write.conn.Write(append(rowMessages("written"), end...)); err != nil {
				t.Fatal(err)
			}
			if end == nil {
				write.reset()
			}
			client.want("value written")
			client.query(queryText(ownReadFormat, 3))
			select {
			case query := <-gw.hosts[0].queries:
				query.answer("current")
			case query := <-gw.hosts[1].queries:
				query.answer("stale")
			case <-time.After(testTimeout):
				t.Fatal("no host received the read")
			}
			client.want("value current")
		})
	}
}

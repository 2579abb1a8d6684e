package simprotocol

import (
	"testing"

	"cloverrock/balance"
)

func TestOutcomeIsReadWithItsReport(t *testing.T) {
	codec := NewCodec()
	var ev balance.Event
	line := "completed who=3 ticket=1564119492 try=1 note=25486 host=host-a timeTakenMs=18.5 over=1 status=enoent feedback=x0:1.5,x1:1,rif:4,new:2"
	if err := codec.ParseEvent(ParseLine([]byte(line)), 1000, &ev); err != nil {
		t.Fatal(err)
	}
	if ev.Kind != balance.OutcomeEvent || ev.Request != 1564119492 || ev.Attempt != 1 || ev.Host != "host-a" || !ev.Finished ||
		ev.Result != balance.NotPrimary || ev.Latency != 18500 || ev.Role != balance.Replica || ev.Position != 1000+6371*1000 {
		t.Errorf("outcome read as %+v", ev)
	}
	want := balance.HostReport{HasPosition: true, Position: 1501000, HasRole: true, Primary: true}
	if ev.Report != want {
		t.Errorf("report read as %+v", ev.Report)
	}
}

func TestPartsOfALineMayComeInAnyOrder(t *testing.T) {
	codec := NewCodec()
	var ev balance.Event
	line := "call dropDeadMs=8652.25 shard=11 lastWriteMs=412.5 service=2 session=4569004829183723 ticket=9 who=3"
	if err := codec.ParseEvent(ParseLine([]byte(line)), 0, &ev); err != nil {
		t.Fatal(err)
	}
	if ev.Kind != balance.RequestEvent || ev.Class != 2 || ev.Group != 11 || ev.SessionKey != 4569004829183723 || !ev.HasSession ||
		ev.SessionWriteAge != 412500 || ev.Deadline != 8652250 || ev.Request != 9 {
		t.Errorf("call read as %+v", ev)
	}
}

package discovery

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cloverrock/balance"
)

func TestDecodeReadsListsAndNamesFaultyKeys(t *testing.T) {
	names := Names{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	for name, c := range map[string]struct {
		document string
		want     EndpointList
		err      string // a part of the error
	}{
		"change": {
			document: `{"generation":41,"reset":false,"instances":[
				{"instanceId":"s-1","hostPort":"10.1.0.18:6543","zone":"b","machineType":"m2","cell":3,
				 "lifecycle":"SERVING","weight":1.5,"startedAtMs":1767225600123,"rank":"source"},
				{"instanceId":"s-2","lifecycle":"DELETED","cell":3,"rank":"copy"}]}`,
			want: EndpointList{Generation: 41, Addresses: map[string]string{"s-1": "10.1.0.18:6543"}, Endpoints: []balance.Endpoint{
				{Host: "s-1", Zone: 1, Kind: 1, Group: 3, State: balance.Ready, Primary: true, Weight: 1.5, StartedAt: 1767225600123e3},
				{Host: "s-2", Zone: balance.UnknownZone, Group: 3, State: balance.Removed, Weight: 1},
			}},
		},
		"zone that the settings do not name": {
			document: `{"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:6543","zone":"c","lifecycle":"SERVING"}]}`,
			want: EndpointList{Addresses: map[string]string{"s-1": "10.1.0.18:6543"}, Endpoints: []balance.Endpoint{
				{Host: "s-1", Zone: balance.UnknownZone, State: balance.Ready, Weight: 1},
			}},
		},
		"complete and empty": {
			document: `{"generation":1,"reset":true}`,
			want:     EndpointList{Generation: 1, Complete: true, Addresses: map[string]string{}},
		},
		"not JSON":      {document: `{"generation":`, err: "list of hosts"},
		"wrong type":    {document: `{"generation":"x"}`, err: "generation"},
		"no id":         {document: `{"instances":[{"lifecycle":"SERVING","hostPort":"a:1"}]}`, err: "instances[0].instanceId"},
		"no address":    {document: `{"instances":[{"lifecycle":"DRAINING","instanceId":"s"}]}`, err: "instances[0].hostPort"},
		"unknown state": {document: `{"instances":[{"lifecycle":"RESTING","instanceId":"s"}]}`, err: "instances[0].lifecycle"},
	} {
		got, err := Decode([]byte(c.document), names)
		if err == nil != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v", name, err)
		} else if d := cmp.Diff(c.want, got); err == nil && d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

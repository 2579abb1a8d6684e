package discovery

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cloverrock/balance"
)

func TestMergeAppliesChangesAndCompleteLists(t *testing.T) {
	ready := func(host string) balance.Endpoint { return balance.Endpoint{Host: host, State: balance.Ready} }
	draining := balance.Endpoint{Host: "b", State: balance.Draining}
	removed := func(host string) balance.Endpoint { return balance.Endpoint{Host: host, State: balance.Removed} }
	var list EndpointList
	for _, step := range []struct{ update, want EndpointList }{
		{ // a change to no list
			update: EndpointList{Generation: 1, Endpoints: []balance.Endpoint{ready("a"), ready("b")}, Addresses: map[string]string{"a": "a:1", "b": "b:1"}},
			want: EndpointList{Generation: 1, Complete: true, Endpoints: []balance.Endpoint{ready("a"), ready("b")},
				Addresses: map[string]string{"a": "a:1", "b": "b:1"}},
		},
		{ // a removed host, an unknown one, one with another state and no address
			update: EndpointList{Generation: 2, Endpoints: []balance.Endpoint{removed("a"), removed("x"), draining}},
			want: EndpointList{Generation: 2, Complete: true, Endpoints: []balance.Endpoint{draining},
				Addresses: map[string]string{"b": "b:1"}},
		},
		{ // a complete list
			update: EndpointList{Generation: 3, Complete: true, Endpoints: []balance.Endpoint{ready("c")}, Addresses: map[string]string{"c": "c:1"}},
			want: EndpointList{Generation: 3, Complete: true, Endpoints: []balance.Endpoint{ready("c")},
				Addresses: map[string]string{"c": "c:1"}},
		},
	} {
		before := list.Clone()
		clone := list.Clone()
		list.Merge(step.update)
		if d := cmp.Diff(step.want, list); d != "" {
			t.Errorf("generation %d: %s", step.update.Generation, d)
		}
		if d := cmp.Diff(before, clone); d != "" {
			t.Errorf("generation %d changed a clone: %s", step.update.Generation, d)
		}
	}
}

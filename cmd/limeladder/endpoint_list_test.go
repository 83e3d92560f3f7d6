package main

import (
	"fmt"
	"slices"
	"testing"

	"limeladder/balance"
	"limeladder/internal/config"
)

func TestEndpointListFollowsWatchEvents(t *testing.T) {
	ready := func(id string) config.EndpointEntry { return config.EndpointEntry{ID: id, State: endpointReady} }
	removed := func(id string) config.EndpointEntry { return config.EndpointEntry{ID: id, State: endpointRemoved} }
	list := newEndpointList()
	for _, step := range []struct {
		name  string
		event config.EndpointList
		kind  balance.EndpointListKind
		want  []config.EndpointEntry // ordered by id
	}{
		{
			"a complete list",
			config.EndpointList{Version: 1, Endpoints: []config.EndpointEntry{ready("b"), ready("a")}},
			balance.ListFull,
			[]config.EndpointEntry{ready("a"), ready("b")},
		},
		{
			"a change",
			config.EndpointList{Version: 2, Endpoints: []config.EndpointEntry{ready("c"), removed("a"), draining(ready("b"))}},
			balance.ListDelta,
			[]config.EndpointEntry{draining(ready("b")), ready("c")},
		},
		{
			"an event without changes",
			config.EndpointList{Version: 3},
			balance.ListDelta,
			[]config.EndpointEntry{draining(ready("b")), ready("c")},
		},
		{
			"a complete list replaces the whole list",
			config.EndpointList{Version: 4, Endpoints: []config.EndpointEntry{ready("d"), removed("c")}},
			balance.ListCached,
			[]config.EndpointEntry{ready("d")},
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			list.apply(step.event, step.kind)
			complete := list.complete()
			if !complete.Full || complete.Version != step.event.Version || !slices.Equal(complete.Endpoints, step.want) {
				t.Errorf("got %+v, want %+v", complete, step.want)
			}
		})
	}
}

func TestKnownEndpointsForgetsTheOldestBeyondItsLimit(t *testing.T) {
	const limit = 3
	var known knownEndpoints
	known.add([]string{"e0", "e1", "e0", "e2"}, limit)
	for i := range 3 {
		if id := fmt.Sprint("e", i); !known.contains(id) {
			t.Errorf("%s is not known, although the limit is not exceeded", id)
		}
	}
	known.add([]string{"e3", "e1"}, limit)
	for id, want := range map[string]bool{"e0": false, "e1": true, "e2": true, "e3": true, "": false} {
		if known.contains(id) != want {
			t.Errorf("contains(%q) = %v, want the opposite", id, !want)
		}
	}
}

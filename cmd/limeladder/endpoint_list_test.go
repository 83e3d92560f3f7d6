package main

import (
	"fmt"
	"slices"
	"testing"

	"limeladder/balance"
	"limeladder/internal/config"
)

func TestEndpointListFollowsWatchEvents(t *testing.T) {
	ready := func(id string) config.Entry { return config.Entry{ID: id, State: endpointReady} }
	removed := func(id string) config.Entry { return config.Entry{ID: id, State: endpointRemoved} }
	list := newEndpointList()
	for _, step := range []struct {
		name  string
		event config.List
		kind  balance.EndpointListKind
		want  []config.Entry // ordered by id
	}{
		{
			"a complete list",
			config.List{Version: 1, Servers: []config.Entry{ready("b"), ready("a")}},
			balance.ListFull,
			[]config.Entry{ready("a"), ready("b")},
		},
		{
			"a change",
			config.List{Version: 2, Servers: []config.Entry{ready("c"), removed("a"), draining(ready("b"))}},
			balance.ListDelta,
			[]config.Entry{draining(ready("b")), ready("c")},
		},
		{
			"a change of nothing",
			config.List{Version: 3},
			balance.ListDelta,
			[]config.Entry{draining(ready("b")), ready("c")},
		},
		{
			"another complete list replaces all",
			config.List{Version: 4, Servers: []config.Entry{ready("d"), removed("c")}},
			balance.ListCached,
			[]config.Entry{ready("d")},
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			list.apply(step.event, step.kind)
			complete := list.complete()
			if !complete.Full || complete.Version != step.event.Version || !slices.Equal(complete.Servers, step.want) {
				t.Errorf("%+v, %+v wanted", complete, step.want)
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
			t.Errorf("%s is not known", id)
		}
	}
	known.add([]string{"e3", "e1"}, limit)
	for id, want := range map[string]bool{"e0": false, "e1": true, "e2": true, "e3": true, "": false} {
		if known.contains(id) != want {
			t.Errorf("%q is known: %v", id, !want)
		}
	}
}

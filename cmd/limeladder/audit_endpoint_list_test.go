package main

import (
	"reflect"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/config"
)

// Each change of an endpoint's state is recorded once, before the record of the list that contains it.
func TestEndpointListRecordsChangesOfState(t *testing.T) {
	policy, err := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	queue := audit.NewQueue(100, 1<<20)
	recording := &auditRecording{
		recorder:       audit.NewRecorder(policy, queue, time.Now),
		endpointStates: map[string]string{},
	}
	entry := func(id, state string) config.EndpointEntry {
		return config.EndpointEntry{ID: id, Group: 7, State: state}
	}
	changed := func(id, state string) audit.Event {
		return audit.EndpointStateChange{Endpoint: id, Group: 7, State: state, Source: "list"}
	}
	for _, step := range []struct {
		name  string
		event config.EndpointList
		kind  balance.EndpointListKind
		want  []audit.Event
	}{
		{
			"new endpoints that are ready are not recorded as changes",
			config.EndpointList{Version: 1, Endpoints: []config.EndpointEntry{entry("a", "ready"), entry("b", "draining")}},
			balance.ListFull,
			[]audit.Event{changed("b", "draining"), audit.List{Version: 1, Full: true, Ready: 1, Draining: 1}},
		},
		{
			"a change",
			config.EndpointList{Version: 2, Endpoints: []config.EndpointEntry{entry("a", "gone"), entry("b", "ready")}},
			balance.ListDelta,
			[]audit.Event{changed("a", "gone"), changed("b", "ready"), audit.List{Version: 2, Ready: 1, Gone: 1}},
		},
		{"an event without endpoints is not recorded", config.EndpointList{Version: 3}, balance.ListDelta, nil},
		{
			"an endpoint is missing from a complete list",
			config.EndpointList{Version: 4},
			balance.ListFull,
			[]audit.Event{
				audit.EndpointStateChange{Endpoint: "b", State: "not listed", Source: "list"},
				audit.List{Version: 4, Full: true},
			},
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			recording.endpointListChanged(step.event, step.kind)
			var events []audit.Event
			for _, record := range queue.Take(nil, 100) {
				events = append(events, record.Event)
			}
			if !reflect.DeepEqual(events, step.want) {
				t.Errorf("recorded %+v, want %+v", events, step.want)
			}
		})
	}
}

package fsm

import (
	"errors"
	"testing"
)

// A watch that asks for events that were already dropped gets ErrCompacted.
func TestEventsSince(t *testing.T) {
	s := New(smallLimits())
	for i := range 8 {
		mustApply(t, s, Change{Ops: []Op{{Key: "a", Value: []byte{byte(i)}}}})
	}
	for _, test := range []struct {
		name     string
		revision uint64
		events   int
		first    uint64
		want     error
	}{
		{"a later event was dropped", 2, 0, 0, ErrCompacted},
		{"just before the oldest event", 3, 5, 4, nil},
		{"up to date", 8, 0, 0, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, err := s.EventsSince(test.revision)
			if !errors.Is(err, test.want) || len(events) != test.events {
				t.Fatalf("got events %+v and error %v", events, err)
			}
			if len(events) > 0 && events[0].Revision != test.first {
				t.Errorf("the first event has revision %d, want %d", events[0].Revision, test.first)
			}
		})
	}
}

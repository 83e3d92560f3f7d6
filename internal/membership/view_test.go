package membership

import (
	"encoding/json"
	"slices"
	"testing"

	"limeladder/internal/config"
)

func ready(id string) config.EndpointEntry    { return config.EndpointEntry{ID: id, State: "ready"} }
func draining(id string) config.EndpointEntry { return config.EndpointEntry{ID: id, State: "draining"} }
func removed(id string) config.EndpointEntry  { return config.EndpointEntry{ID: id, State: "gone"} }

// list returns a complete list with the given version, Replaces and entries.
func list(version, replaces int64, entries ...config.EndpointEntry) Snapshot {
	return Snapshot{
		EndpointList: config.EndpointList{Version: version, Full: true, Endpoints: entries},
		Replaces:     replaces,
	}
}

// change returns a change to a list.
func change(version int64, entries ...config.EndpointEntry) config.EndpointList {
	return config.EndpointList{Version: version, Endpoints: entries}
}

func TestViewFollowsWatchEvents(t *testing.T) {
	view := NewView()
	for _, step := range []struct {
		name  string
		event config.EndpointList
		want  []config.EndpointEntry // ordered by id
	}{
		{
			"a complete list",
			list(1, 0, ready("b"), ready("a")).EndpointList,
			[]config.EndpointEntry{ready("a"), ready("b")},
		},
		{
			"a change",
			change(2, ready("c"), removed("a"), draining("b")),
			[]config.EndpointEntry{draining("b"), ready("c")},
		},
		{
			"an event without changes",
			change(3),
			[]config.EndpointEntry{draining("b"), ready("c")},
		},
		{
			"a complete list replaces the whole list",
			list(4, 0, ready("d"), removed("c")).EndpointList,
			[]config.EndpointEntry{ready("d")},
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			view.Receive(step.event)
			got := view.Snapshot()
			if !got.Full || got.Version != step.event.Version || !slices.Equal(got.Endpoints, step.want) {
				t.Errorf("got %+v, want %+v", got, step.want)
			}
		})
	}
	view.Replace(list(2, 0, ready("e"), removed("d")), Stored)
	if got := view.Snapshot(); got.Version != 2 || !slices.Equal(got.Endpoints, []config.EndpointEntry{ready("e")}) {
		t.Errorf("after Replace: got %+v, want version 2 with e alone", got)
	}
}

// Guards against a stored list that replaces a newer one, and against a newer stored list that is ignored.
func TestNewerThan(t *testing.T) {
	a := ready("a")
	for _, test := range []struct {
		name         string
		older, newer Snapshot
	}{
		{"a higher version", list(1, 0, a), list(2, 0, a)},
		{"no endpoints", list(9, 0), list(0, 0, a)},
		{"numbering began anew", list(41, 0, a), list(3, 41, a)},
		{"within the new numbering", list(3, 41, a), list(4, 41, a)},
		{"routers that moved at different versions", list(3, 42, a), list(4, 41, a)},
		{"the former numbering went on for another router", list(3, 41, a), list(42, 0, a)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !test.newer.NewerThan(test.older) {
				t.Errorf("%+v is not newer than %+v", test.newer, test.older)
			}
			if test.older.NewerThan(test.newer) {
				t.Errorf("%+v is newer than %+v", test.older, test.newer)
			}
		})
	}
	for _, same := range []Snapshot{list(1, 0, a), list(0, 0, a), list(5, 9, a), list(1, 0)} {
		if same.NewerThan(same) {
			t.Errorf("%+v is newer than itself", same)
		}
	}
}

// A list from discovery is not replaced by any other, whatever its version is.
func TestViewAcceptsOnlyNewerListsBeforeDiscoveryAnswers(t *testing.T) {
	view := NewView()
	view.Replace(list(2, 0, ready("a")), Configured)
	for _, offered := range []Snapshot{list(1, 0, ready("b")), list(2, 0, ready("b")), list(9, 0)} {
		if view.Accepts(offered) {
			t.Errorf("%+v was accepted in place of version 2", offered)
		}
	}
	newer := list(3, 0, ready("b"))
	if !view.Accepts(newer) {
		t.Errorf("%+v was not accepted in place of version 2", newer)
	}
	view.Receive(change(2))
	if view.Accepts(newer) {
		t.Error("a list replaced one that discovery has confirmed")
	}
}

// Guards against a list of the new numbering that counts as older after discovery has begun its versions anew.
func TestViewNoticesNewNumbering(t *testing.T) {
	for _, test := range []struct {
		name  string
		event config.EndpointList
		want  int64 // Replaces
	}{
		{"a higher version", list(42, 0, ready("b")).EndpointList, 0},
		{"the same list", list(41, 0, ready("a")).EndpointList, 0},
		{"a lower version", list(3, 0, ready("a")).EndpointList, 41},
		{"the same version with other content", list(41, 0, draining("a")).EndpointList, 41},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := NewView()
			view.Replace(list(41, 0, ready("a")), Configured)
			view.Receive(test.event)
			view.Receive(change(test.event.Version+1, ready("c")))
			if got := view.Snapshot(); got.Replaces != test.want {
				t.Errorf("got %+v, want that it replaces version %d", got, test.want)
			}
			if before := list(41, 0, ready("a")); !view.Snapshot().NewerThan(before) {
				t.Errorf("%+v is not newer than %+v", view.Snapshot(), before)
			}
		})
	}
	first := NewView()
	first.Receive(list(0, 0, ready("a")).EndpointList)
	if got := first.Snapshot().Replaces; got != 0 {
		t.Errorf("the first list replaces version %d, want none", got)
	}
}

// The stored form is that of a list from discovery, so that earlier versions of the program read it.
func TestSnapshotHasTheFormOfAList(t *testing.T) {
	plain := list(41, 0, ready("a"))
	encoded, err := json.Marshal(plain)
	if err != nil {
		t.Fatal(err)
	}
	want, err := json.Marshal(plain.EndpointList)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(want) {
		t.Errorf("got %s, want %s", encoded, want)
	}
	encoded, err = json.Marshal(list(3, 41, ready("a")))
	if err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := json.Unmarshal(encoded, &decoded); err != nil || decoded.Replaces != 41 || decoded.Version != 3 {
		t.Errorf("got %+v, %v, want version 3 that replaces 41", decoded, err)
	}
}

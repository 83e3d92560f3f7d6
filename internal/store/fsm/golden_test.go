package fsm_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"limeladder/internal/store/fsm"
)

// The golden files under testdata were written by the program at commit 4e3d53a. Members that were stopped at that
// version have such data on disk, so every later version has to read it. Later versions also have to write the same
// bytes, because members that are not upgraded yet read the entries and snapshots of the others.

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// golden returns the content of a golden file. With -update it first overwrites the file with content.
func golden(t *testing.T, name string, content []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// goldenLines returns the lines of a golden file, and checks that it has as many lines as given. With -update it first
// overwrites the file with the given lines.
func goldenLines(t *testing.T, name string, lines [][]byte) [][]byte {
	t.Helper()
	text := golden(t, name, append(bytes.Join(lines, []byte("\n")), '\n'))
	got := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	if len(got) != len(lines) {
		t.Fatalf("%s has %d lines, want %d", name, len(got), len(lines))
	}
	return got
}

func equal(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s is %+v, want %+v", what, got, want)
	}
}

func revision(n uint64) *uint64 { return &n }

const writtenAt = 1_800_000_000 * time.Second

// goldenChanges returns the changes that make the golden state, in order. Together they set every field.
func goldenChanges() []fsm.Change {
	return []fsm.Change{
		{ID: "site-a.1.1", Author: "site-a", ProposedAt: writtenAt, Ops: []fsm.Op{
			{Key: "settings/site-a", Kind: fsm.KindConfig, Schema: 3, Value: []byte(`{"weight":1}`), IfRevision: revision(0)},
			{Key: "endpoint-1", Value: []byte("ready")},
		}},
		{ID: "site-a.1.2", Author: "site-b", ProposedAt: writtenAt + time.Second, Ops: []fsm.Op{
			{Key: "settings/site-a", Kind: fsm.KindConfig, Schema: 4, Value: []byte(`{"weight":2}`), IfRevision: revision(1)},
		}},
		{ID: "site-b.1.1", Author: "site-b", ProposedAt: writtenAt + 2*time.Second, Ops: []fsm.Op{
			{Key: "settings/site-a", Kind: fsm.KindConfig, Schema: 4, Value: []byte(`{"weight":9}`), IfRevision: revision(1)},
		}},
		{Ops: []fsm.Op{{Key: "endpoint-2", Kind: "address", Value: []byte{0, 0xff, '"'}}}},
		{ID: "site-b.1.2", Author: "site-b", ProposedAt: writtenAt + 3*time.Second, Ops: []fsm.Op{
			{Key: "settings/site-a", Delete: true, IfRevision: revision(2)},
			{Key: "settings/site-b", Kind: fsm.KindConfig, Schema: 1, Value: []byte(`{}`)},
		}},
	}
}

// goldenLimits returns limits with which the golden state drops only its oldest event.
func goldenLimits() fsm.Limits {
	return fsm.Limits{
		KeyBytes: 64, ValueBytes: 256, Ops: 8, Records: 16, TotalBytes: 4096, HistoryLength: 4, RememberedIDs: 8, Events: 5,
	}
}

func TestGoldenChanges(t *testing.T) {
	var lines [][]byte
	for _, change := range goldenChanges() {
		line, err := change.Encode()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	stored := goldenLines(t, "changes.jsonl", lines)
	for i, want := range goldenChanges() {
		t.Run(string(lines[i]), func(t *testing.T) {
			if !bytes.Equal(lines[i], stored[i]) {
				t.Errorf("the change is encoded as\n%s, want\n%s", lines[i], stored[i])
			}
			got, err := fsm.Decode(stored[i])
			if err != nil {
				t.Fatal(err)
			}
			equal(t, "the decoded change", got, want)
		})
	}
}

// The formats of the first version are no longer written, but the logs and snapshots of members that ran an early
// version still contain them.
func TestGoldenFirstVersion(t *testing.T) {
	entry, err := os.ReadFile(filepath.Join("testdata", "first-form-change.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := fsm.Decode(entry)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "the change", got, fsm.Change{Ops: []fsm.Op{{Key: "endpoint-1", Value: []byte("ready")}}})

	snapshot, err := os.ReadFile(filepath.Join("testdata", "first-form-snapshot.json"))
	if err != nil {
		t.Fatal(err)
	}
	state, err := fsm.Restore(snapshot, fsm.DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "the revision", state.Revision(), uint64(1))
	equal(t, "the records", state.Range(""), []fsm.Record{
		{Key: "endpoint-1", Value: []byte("ready"), CreateRevision: 1, ModRevision: 1},
		{Key: "endpoint-2", Value: []byte("draining"), CreateRevision: 1, ModRevision: 1},
	})
}

// Results are sent between members, and remembered results are part of snapshots.
func TestGoldenResults(t *testing.T) {
	results := []fsm.Result{
		{Revision: 7},
		{Reason: fsm.ReasonConflict, Key: "endpoint-1", CurrentRevision: 3, Duplicate: true},
		{Reason: fsm.ReasonLimitExceeded},
		{Reason: fsm.ReasonInvalid},
	}
	var lines [][]byte
	for _, result := range results {
		line, err := json.Marshal(result)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	stored := goldenLines(t, "results.jsonl", lines)
	for i, want := range results {
		t.Run(string(lines[i]), func(t *testing.T) {
			if !bytes.Equal(lines[i], stored[i]) {
				t.Errorf("the result is encoded as\n%s, want\n%s", lines[i], stored[i])
			}
			var got fsm.Result
			if err := json.Unmarshal(stored[i], &got); err != nil {
				t.Fatal(err)
			}
			equal(t, "the decoded result", got, want)
		})
	}
}

func encodeSnapshot(t *testing.T, state *fsm.State) []byte {
	t.Helper()
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestGoldenSnapshot(t *testing.T) {
	built := fsm.New(goldenLimits())
	for _, change := range goldenChanges() {
		built.Apply(change)
	}
	written := encodeSnapshot(t, built)
	stored := golden(t, "state.snapshot", written)
	if !bytes.Equal(written, stored) {
		t.Errorf("the golden changes give the snapshot\n%q, want\n%q", written, stored)
	}
	state, err := fsm.Restore(stored, goldenLimits())
	if err != nil {
		t.Fatal(err)
	}
	if again := encodeSnapshot(t, state); !bytes.Equal(again, stored) {
		t.Errorf("the restored state gives the snapshot\n%q, want\n%q", again, stored)
	}

	settingsB := fsm.Record{
		Key: "settings/site-b", Kind: "config", Schema: 1, Value: []byte(`{}`), CreateRevision: 4, ModRevision: 4,
	}
	equal(t, "the revision", state.Revision(), uint64(4))
	equal(t, "the number of records", state.Len(), 3)
	equal(t, "the size", state.Bytes(), 45)
	equal(t, "the records", state.Range(""), []fsm.Record{
		{Key: "endpoint-1", Value: []byte("ready"), CreateRevision: 1, ModRevision: 1},
		{Key: "endpoint-2", Kind: "address", Value: []byte{0, 0xff, '"'}, CreateRevision: 3, ModRevision: 3},
		settingsB,
	})
	equal(t, "the history of a deleted record", state.History("settings/site-a"), []fsm.HistoryEntry{
		{
			Record: fsm.Record{
				Key: "settings/site-a", Kind: "config", Schema: 3, Value: []byte(`{"weight":1}`), CreateRevision: 1, ModRevision: 1,
			},
			Author: "site-a", ProposedAt: writtenAt,
		},
		{
			Record: fsm.Record{
				Key: "settings/site-a", Kind: "config", Schema: 4, Value: []byte(`{"weight":2}`), CreateRevision: 1, ModRevision: 2,
			},
			Author: "site-b", ProposedAt: writtenAt + time.Second,
		},
		{
			Record: fsm.Record{Key: "settings/site-a", Kind: "config", Value: []byte{}, CreateRevision: 1, ModRevision: 4},
			Author: "site-b", ProposedAt: writtenAt + 3*time.Second, Deleted: true,
		},
	})
	equal(t, "the history of a record", state.History("settings/site-b"), []fsm.HistoryEntry{
		{Record: settingsB, Author: "site-b", ProposedAt: writtenAt + 3*time.Second},
	})
	checkGoldenEvents(t, state)
	checkGoldenIDs(t, state)
}

func checkGoldenEvents(t *testing.T, state *fsm.State) {
	t.Helper()
	events, err := state.EventsSince(1)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "the events since revision 1", events, []fsm.Event{
		{Revision: 2, Key: "settings/site-a"},
		{Revision: 3, Key: "endpoint-2"},
		{Revision: 4, Key: "settings/site-a", Deleted: true},
		{Revision: 4, Key: "settings/site-b"},
	})
	if _, err := state.EventsSince(0); !errors.Is(err, fsm.ErrCompacted) {
		t.Errorf("EventsSince(0) returns the error %v, want %v", err, fsm.ErrCompacted)
	}
}

// checkGoldenIDs applies each change id of the golden state again and checks that the state returns its first result.
func checkGoldenIDs(t *testing.T, state *fsm.State) {
	t.Helper()
	results := map[string]fsm.Result{
		"site-a.1.1": {Revision: 1, Duplicate: true},
		"site-a.1.2": {Revision: 2, Duplicate: true},
		"site-b.1.1": {Reason: "conflict", Key: "settings/site-a", CurrentRevision: 2, Duplicate: true},
		"site-b.1.2": {Revision: 4, Duplicate: true},
	}
	for id, want := range results {
		got := state.Apply(fsm.Change{ID: id, Ops: []fsm.Op{{Key: "endpoint-1", Value: []byte("again")}}})
		equal(t, "the result of "+id, got, want)
	}
}

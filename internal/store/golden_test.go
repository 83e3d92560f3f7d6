package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// The golden files under testdata were written by the program at commit 4e3d53a: wal.log by the log store alone, and
// the folder member by a member that took a snapshot and was closed. Members that were stopped at that version have
// such a folder, and must restore all of its content when they start again.

var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenLogs returns log entries that together set every field of raft.Log.
func goldenLogs() []*raft.Log {
	at := time.Date(2027, 1, 15, 8, 0, 0, 123456789, time.UTC)
	return []*raft.Log{
		{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: []byte("site-a")},
		{Index: 2, Term: 2, Type: raft.LogNoop, AppendedAt: at},
		{Index: 3, Term: 2, Type: raft.LogCommand, Data: []byte(`{"Ops":[]}`), Extensions: []byte{0, 0xff}, AppendedAt: at},
		{Index: 4, Term: 3, Type: raft.LogBarrier, AppendedAt: at.Add(time.Second)},
		{Index: 5, Term: 3, Type: raft.LogCommand, Data: []byte("endpoint-1"), AppendedAt: at},
		{Index: 6, Term: 3, Type: raft.LogCommand, Data: []byte("endpoint-2"), AppendedAt: at},
	}
}

// writeLog writes the golden log: the first entry and then the other five at once, raft's stable values, one of them
// twice, and the deletion of a range at the end and of one at the beginning.
func writeLog(t *testing.T, path string) {
	t.Helper()
	w, err := openWAL(path)
	if err != nil {
		t.Fatal(err)
	}
	logs := goldenLogs()
	for _, err := range []error{
		w.SetUint64([]byte("CurrentTerm"), 1),
		w.StoreLog(logs[0]),
		w.StoreLogs(logs[1:]),
		w.SetUint64([]byte("CurrentTerm"), 3),
		w.Set([]byte("LastVoteCand"), []byte("site-a")),
		w.DeleteRange(6, 6),
		w.DeleteRange(1, 1),
		w.close(),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGoldenLogIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	writeLog(t, path)
	written := readFile(t, path)
	if *updateGolden {
		if err := os.WriteFile("testdata/wal.log", written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if stored := readFile(t, "testdata/wal.log"); !bytes.Equal(written, stored) {
		t.Errorf("the log is written as\n%q, want\n%q", written, stored)
	}
}

// A record consists of the length of its body, the CRC-32C of the body, and the body as JSON. The test parses the
// golden log without the package's own code.
func TestGoldenLogRecords(t *testing.T) {
	rest := readFile(t, "testdata/wal.log")
	for i, fields := range [][]string{
		{"Key", "Value"}, {"Logs"}, {"Logs"}, {"Key", "Value"}, {"Key", "Value"}, {"Min", "Max"}, {"Min", "Max"},
	} {
		if len(rest) < 8 || uint32(len(rest)-8) < binary.BigEndian.Uint32(rest) {
			t.Fatalf("record %d is cut short", i)
		}
		size, sum := binary.BigEndian.Uint32(rest), binary.BigEndian.Uint32(rest[4:])
		body := rest[8 : 8+size]
		rest = rest[8+size:]
		if crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) != sum {
			t.Errorf("record %d does not match its checksum", i)
		}
		var got map[string]any
		if err := json.Unmarshal(body, &got); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(fields) {
			t.Errorf("record %d is %s, want the fields %q", i, body, fields)
		}
		for _, field := range fields {
			if _, ok := got[field]; !ok {
				t.Errorf("record %d is %s, want the fields %q", i, body, fields)
			}
		}
	}
	if len(rest) > 0 {
		t.Errorf("%d bytes follow the last record, want none", len(rest))
	}
}

func TestGoldenLogIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, readFile(t, "testdata/wal.log"), 0o600); err != nil {
		t.Fatal(err)
	}
	w, err := openWAL(path)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, w)
	first, _ := w.FirstIndex()
	last, _ := w.LastIndex()
	if first != 2 || last != 5 {
		t.Errorf("the log has the entries %d to %d, want 2 to 5", first, last)
	}
	for _, want := range goldenLogs() {
		var got raft.Log
		err := w.GetLog(want.Index, &got)
		if want.Index < first || want.Index > last {
			if !errors.Is(err, raft.ErrLogNotFound) {
				t.Errorf("reading the deleted entry %d returns %v, want raft.ErrLogNotFound", want.Index, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(&got, want) {
			t.Errorf("entry %d is %+v, want %+v", want.Index, &got, want)
		}
	}
	if term, err := w.GetUint64([]byte("CurrentTerm")); err != nil || term != 3 {
		t.Errorf("CurrentTerm is %d, %v, want 3", term, err)
	}
	if vote, err := w.Get([]byte("LastVoteCand")); err != nil || string(vote) != "site-a" {
		t.Errorf("LastVoteCand is %q, %v, want site-a", vote, err)
	}
}

// openMember starts the only member of a store and waits until it is ready.
func openMember(t *testing.T, folder string) *Store {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	s, err := Open(Config{
		Name: "site-a", Folder: folder, Peers: map[string]string{"site-a": address}, LogEntries: 4, QueuedWrites: 8,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Minute); !s.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the member is not ready after a minute")
		}
	}
	return s
}

// goldenChanges returns the changes that the golden member committed: six before its snapshot and two after it.
func goldenChanges() []fsm.Change {
	absent, first := uint64(0), uint64(1)
	set := func(id, key, value string) fsm.Change {
		return fsm.Change{ID: id, Author: "site-a", ProposedAt: 7, Ops: []fsm.Op{{Key: key, Value: []byte(value)}}}
	}
	return []fsm.Change{
		{ID: "1", Author: "site-a", ProposedAt: 5, Ops: []fsm.Op{
			{Key: "settings", Kind: fsm.KindConfig, Schema: 2, Value: []byte("one"), IfRevision: &absent},
		}},
		{ID: "2", Author: "site-b", ProposedAt: 6, Ops: []fsm.Op{
			{Key: "settings", Kind: fsm.KindConfig, Schema: 3, Value: []byte("two"), IfRevision: &first},
		}},
		set("3", "endpoint-1", "ready"),
		set("4", "endpoint-2", "ready"),
		set("5", "endpoint-3", "ready"),
		{ID: "6", Ops: []fsm.Op{{Key: "endpoint-3", Delete: true}}},
		set("7", "endpoint-2", "draining"),
		set("8", "endpoint-4", "ready"),
	}
}

const changesBeforeSnapshot = 6

// writeMember creates the golden folder with a real member. It waits several seconds for raft to take a snapshot, and
// runs only with -update.
func writeMember(t *testing.T, folder string) {
	t.Helper()
	s := openMember(t, folder)
	for i, change := range goldenChanges() {
		if i == changesBeforeSnapshot {
			waitForSnapshot(t, folder)
		}
		if result, err := s.Commit(change); err != nil || result.Err() != nil {
			t.Fatalf("committing a golden change returns %+v, %v", result, err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

func waitForSnapshot(t *testing.T, folder string) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
		if found, _ := filepath.Glob(filepath.Join(folder, "snapshots", "*-*-*", "state.bin")); len(found) > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no snapshot within a minute")
		}
	}
}

func TestGoldenMemberStarts(t *testing.T) {
	const golden = "testdata/member"
	if *updateGolden {
		if err := os.RemoveAll(golden); err != nil {
			t.Fatal(err)
		}
		folder := t.TempDir()
		writeMember(t, folder)
		if err := os.CopyFS(golden, os.DirFS(folder)); err != nil {
			t.Fatal(err)
		}
	}
	checkMemberFiles(t, golden)
	folder := filepath.Join(t.TempDir(), "member")
	if err := os.CopyFS(folder, os.DirFS(golden)); err != nil {
		t.Fatal(err)
	}
	s := openMember(t, folder)
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	if s.TornBytes() != 0 {
		t.Errorf("%d bytes of the log were dropped, want none", s.TornBytes())
	}
	records, revision := s.Range("")
	if want := goldenRecords(); revision != 8 || !reflect.DeepEqual(records, want) {
		t.Errorf("revision %d: %+v, want revision 8: %+v", revision, records, want)
	}
	if got, want := s.History("settings"), goldenHistory(); !reflect.DeepEqual(got, want) {
		t.Errorf("the history is %+v, want %+v", got, want)
	}
	checkMemberEvents(t, s)
	for i, change := range goldenChanges() {
		want := fsm.Result{Revision: uint64(i) + 1, Duplicate: true}
		if got, err := s.Commit(change); err != nil || got != want {
			t.Errorf("committing change %s again returns %+v, %v, want %+v", change.ID, got, err, want)
		}
	}
}

// checkMemberFiles checks that a start needs both the snapshot and the log: neither of them contains all changes.
func checkMemberFiles(t *testing.T, folder string) {
	t.Helper()
	snapshots, err := filepath.Glob(filepath.Join(folder, "snapshots", "*", "state.bin"))
	if err != nil || len(snapshots) != 1 {
		t.Fatalf("the snapshots are %q, %v, want one", snapshots, err)
	}
	state, err := fsm.Restore(readFile(t, snapshots[0]), fsm.DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	if state.Revision() != changesBeforeSnapshot {
		t.Errorf("the snapshot has revision %d, want %d", state.Revision(), changesBeforeSnapshot)
	}
	log := readFile(t, filepath.Join(folder, "log"))
	if !bytes.Contains(log, []byte(`{"Min":1,"Max":`)) {
		t.Error("the log has no deletion of the entries that the snapshot covers")
	}
}

func goldenRecords() []fsm.Record {
	return []fsm.Record{
		{Key: "endpoint-1", Value: []byte("ready"), CreateRevision: 3, ModRevision: 3},
		{Key: "endpoint-2", Value: []byte("draining"), CreateRevision: 4, ModRevision: 7},
		{Key: "endpoint-4", Value: []byte("ready"), CreateRevision: 8, ModRevision: 8},
		{Key: "settings", Kind: "config", Schema: 3, Value: []byte("two"), CreateRevision: 1, ModRevision: 2},
	}
}

func goldenHistory() []fsm.HistoryEntry {
	return []fsm.HistoryEntry{
		{
			Record: fsm.Record{
				Key: "settings", Kind: "config", Schema: 2, Value: []byte("one"),
				CreateRevision: 1, ModRevision: 1,
			},
			Author: "site-a", ProposedAt: 5,
		},
		{
			Record: fsm.Record{
				Key: "settings", Kind: "config", Schema: 3, Value: []byte("two"),
				CreateRevision: 1, ModRevision: 2,
			},
			Author: "site-b", ProposedAt: 6,
		},
	}
}

func checkMemberEvents(t *testing.T, s *Store) {
	t.Helper()
	got, err := s.EventsSince(0)
	if err != nil {
		t.Fatal(err)
	}
	want := []fsm.Event{
		{Revision: 1, Key: "settings"},
		{Revision: 2, Key: "settings"},
		{Revision: 3, Key: "endpoint-1"},
		{Revision: 4, Key: "endpoint-2"},
		{Revision: 5, Key: "endpoint-3"},
		{Revision: 6, Key: "endpoint-3", Deleted: true},
		{Revision: 7, Key: "endpoint-2"},
		{Revision: 8, Key: "endpoint-4"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the events are %+v, want %+v", got, want)
	}
}

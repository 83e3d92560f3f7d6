package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/hashicorp/raft"
)

// requireDamagedError checks that opening the log returns a *DamagedError for the record at offset and does not change
// the file.
func requireDamagedError(t *testing.T, path string, content []byte, offset int64) {
	t.Helper()
	writeFile(t, path, content)
	w, err := openWAL(path)
	if err == nil {
		t.Fatalf("opened with %d entries and %d torn bytes, want a *DamagedError", w.lastIndex, w.tornBytes)
	}
	var damage *DamagedError
	if !errors.As(err, &damage) || damage.File != path || damage.Offset != offset {
		t.Fatalf("got error %v, want damage at byte %d", err, offset)
	}
	left, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(left, content) {
		t.Fatalf("the damaged file was changed (read error: %v)", err)
	}
}

// Guards against acknowledged records that are truncated as torn because one bit of the file has changed.
func TestFlippedBitIsReportedAsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 5)
	for record := range ends[1:] {
		for position := ends[record]; position < ends[record+1]; position++ {
			for bit := range 8 {
				damaged := slices.Clone(content)
				damaged[position] ^= 1 << bit
				requireDamagedError(t, path, damaged, ends[record])
			}
		}
	}
}

// Guards against an acknowledged record that is truncated as torn because one bit of its length has changed and a crash
// has torn the record after it.
func TestWrongLengthBeforeTornRecordIsReportedAsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 3)
	for end := ends[2]; end < ends[3]; end++ {
		for bit := range 8 * recordLengthBytes {
			damaged := slices.Clone(content[:end])
			damaged[int(ends[1])+bit/8] ^= 1 << (bit % 8)
			requireDamagedError(t, path, damaged, ends[1])
		}
	}
}

// After a crash the file may have its full length but zeros in place of parts of the last record.
func TestRecordWithUnwrittenPartsIsTorn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 3)
	for start := ends[2] + recordHeaderBytes; start < ends[3]; start++ {
		torn := slices.Clone(content)
		clear(torn[start:])
		writeFile(t, path, torn)
		w := mustOpenWAL(t, path)
		if w.lastIndex != 2 || w.size != ends[2] {
			t.Fatalf("zeros from byte %d: %d entries in %d bytes, want only the first 2", start, w.lastIndex, w.size)
		}
		mustClose(t, w)
	}
}

// Guards against acknowledged entries that the next start truncates as torn because their record is too long.
func TestEntriesTooLongForOneRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	w := mustOpenWAL(t, path)
	const entryBytes = 20 << 20 // more than a third of maxRecordBytes once encoded in base64
	var entries []*raft.Log
	for index := uint64(1); index <= 4; index++ {
		entries = append(entries, &raft.Log{Index: index, Data: make([]byte, entryBytes)})
	}
	if err := w.StoreLogs(entries); err != nil {
		t.Fatal(err)
	}
	tooLong := &raft.Log{Index: 5, Data: make([]byte, maxRecordBytes)}
	if err := w.StoreLog(tooLong); !errors.Is(err, errRecordTooLong) {
		t.Errorf("storing an entry that is too long returns %v, want errRecordTooLong", err)
	}
	mustClose(t, w)
	w = mustOpenWAL(t, path)
	defer mustClose(t, w)
	if w.firstIndex != 1 || w.lastIndex != 4 || w.tornBytes != 0 {
		t.Errorf("entries %d to %d, %d torn bytes, want 1 to 4 and none", w.firstIndex, w.lastIndex, w.tornBytes)
	}
}

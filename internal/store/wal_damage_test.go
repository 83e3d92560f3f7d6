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

// requireDamage fails the test unless the log is refused with the record at an offset, and left as it is.
func requireDamage(t *testing.T, path string, content []byte, offset int64) {
	t.Helper()
	writeFile(t, path, content)
	w, err := openWAL(path)
	if err == nil {
		t.Fatalf("opened with %d entries, %d bytes called torn", w.lastIndex, w.tornBytes)
	}
	var damage *DamagedError
	if !errors.As(err, &damage) || damage.File != path || damage.Offset != offset {
		t.Fatalf("%v, want damage at byte %d", err, offset)
	}
	left, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(left, content) {
		t.Fatalf("the damaged file was changed (%v)", err)
	}
}

// Guards against acknowledged records that are cut off as torn because one bit of the file has changed.
func TestOneWrongBitIsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 5)
	for record := range ends[1:] {
		for position := ends[record]; position < ends[record+1]; position++ {
			for bit := range 8 {
				damaged := slices.Clone(content)
				damaged[position] ^= 1 << bit
				requireDamage(t, path, damaged, ends[record])
			}
		}
	}
}

// Guards against the same where a crash has cut the record behind the damaged one.
func TestWrongLengthBeforeATornRecordIsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 3)
	for end := ends[2]; end < ends[3]; end++ {
		for bit := range 8 * recordLengthBytes {
			damaged := slices.Clone(content[:end])
			damaged[int(ends[1])+bit/8] ^= 1 << (bit % 8)
			requireDamage(t, path, damaged, ends[1])
		}
	}
}

// A crash may leave parts of the last record as zeros, behind a file that has its whole length.
func TestRecordWithUnwrittenPartsIsTorn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 3)
	for start := ends[2] + recordHeaderBytes; start < ends[3]; start++ {
		torn := slices.Clone(content)
		clear(torn[start:])
		writeFile(t, path, torn)
		w := mustOpenWAL(t, path)
		if w.lastIndex != 2 || w.size != ends[2] {
			t.Fatalf("zeros from %d: %d entries, %d bytes", start, w.lastIndex, w.size)
		}
		mustClose(t, w)
	}
}

// Guards against acknowledged entries that the next start takes for torn because their record is longer than allowed.
func TestEntriesTooLongForOneRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	w := mustOpenWAL(t, path)
	const entryBytes = 20 << 20 // a third of a record, as it is encoded in base64
	var entries []*raft.Log
	for index := uint64(1); index <= 4; index++ {
		entries = append(entries, &raft.Log{Index: index, Data: make([]byte, entryBytes)})
	}
	if err := w.StoreLogs(entries); err != nil {
		t.Fatal(err)
	}
	tooLong := &raft.Log{Index: 5, Data: make([]byte, maxRecordBytes)}
	if err := w.StoreLog(tooLong); !errors.Is(err, errRecordTooLong) {
		t.Errorf("an entry too long: %v", err)
	}
	mustClose(t, w)
	w = mustOpenWAL(t, path)
	defer mustClose(t, w)
	if w.firstIndex != 1 || w.lastIndex != 4 || w.tornBytes != 0 {
		t.Errorf("entries %d to %d, %d bytes torn", w.firstIndex, w.lastIndex, w.tornBytes)
	}
}

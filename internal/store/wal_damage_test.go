package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
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

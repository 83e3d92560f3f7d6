package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
)

func mustOpenWAL(t *testing.T, path string) *wal {
	t.Helper()
	w, err := openWAL(path)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func mustClose(t *testing.T, w *wal) {
	t.Helper()
	if err := w.close(); err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// writeEntries writes a log of n entries. It returns its content and the end offsets of its records, preceded by 0.
func writeEntries(t *testing.T, path string, n uint64) (content []byte, ends []int64) {
	t.Helper()
	w := mustOpenWAL(t, path)
	ends = []int64{0}
	for index := uint64(1); index <= n; index++ {
		if err := w.StoreLog(&raft.Log{Index: index, Term: 1, Data: []byte("entry")}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, w.size)
	}
	mustClose(t, w)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content, ends
}

// Wherever a crash truncates the file, the complete records are read and the size of the torn one is reported.
func TestTornRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 5)
	for n := range content {
		writeFile(t, path, content[:n])
		w, err := openWAL(path)
		if err != nil {
			t.Fatalf("truncated at %d: %v", n, err)
		}
		complete := 0
		for ends[complete+1] <= int64(n) {
			complete++
		}
		end := ends[complete]
		if w.lastIndex != uint64(complete) || w.tornBytes != int64(n)-end || w.size != end {
			t.Fatalf("truncated at %d: %d entries, %d torn bytes, want only the complete records", n, w.lastIndex, w.tornBytes)
		}
		mustClose(t, w)
	}
}

// A damaged record before the last one is an error that names the file and the record.
func TestDamagedRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	content, ends := writeEntries(t, path, 5)
	checkDamaged := func(t *testing.T, damaged []byte, offset int64) *DamagedError {
		t.Helper()
		writeFile(t, path, damaged)
		_, err := openWAL(path)
		var damage *DamagedError
		if !errors.As(err, &damage) {
			t.Fatalf("damaged record at %d: got error %v, want a *DamagedError", offset, err)
		}
		if damage.File != path || damage.Offset != offset {
			t.Fatalf("got %+v, want the record at %d of %s", damage, offset, path)
		}
		return damage
	}
	t.Run("wrong byte", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			offset := ends[rng.IntN(4)]
			damaged := append([]byte(nil), content...)
			damaged[int(offset)+recordHeaderBytes+rng.IntN(20)] ^= 0x40
			damage := checkDamaged(t, damaged, offset)
			if text := damage.Error(); !strings.HasPrefix(text, path+": damaged record at byte ") {
				t.Fatal(text)
			}
		}
	})
	t.Run("valid checksum of a body that is not a record", func(t *testing.T) {
		notJSON := []byte{0, 0, 0, 0, 0, 0, 0, 0}
		damage := checkDamaged(t, append(content[:ends[2]:ends[2]], notJSON...), ends[2])
		if damage.Err == nil || !strings.HasSuffix(damage.Error(), ": "+damage.Err.Error()) {
			t.Fatalf("got error %v, want one that ends with the decoding error", damage)
		}
	})
	t.Run("the store does not open", func(t *testing.T) {
		folder := filepath.Dir(path)
		_, err := Open(Config{Name: "m0", Folder: folder, Peers: peers(t, 1)}, discardLog)
		var damage *DamagedError
		if !errors.As(err, &damage) || err.Error() != "store: "+damage.Error() {
			t.Errorf("got error %v, want a *DamagedError after \"store: \"", err)
		}
	})
}

func TestCompact(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	w := mustOpenWAL(t, path)
	if err := w.SetUint64([]byte("term"), 7); err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= 20; index++ {
		if err := w.StoreLog(&raft.Log{Index: index, Data: make([]byte, 64<<10)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.DeleteRange(1, 18); err != nil {
		t.Fatal(err)
	}
	mustClose(t, w)
	w = mustOpenWAL(t, path)
	defer mustClose(t, w)
	term, err := w.GetUint64([]byte("term"))
	if term != 7 || err != nil {
		t.Errorf("term %d, error %v, want term 7", term, err)
	}
	if w.firstIndex != 19 || w.lastIndex != 20 || w.size > 400<<10 {
		t.Errorf("entries %d to %d, %d bytes, want 19 to 20 in at most 400 KiB", w.firstIndex, w.lastIndex, w.size)
	}
}

func FuzzWAL(f *testing.F) {
	encoded, err := walRecord{Key: "k", Value: []byte("v")}.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "log")
		writeFile(t, path, content)
		w, err := openWAL(path)
		if err != nil {
			return
		}
		if w.size+w.tornBytes != int64(len(content)) {
			t.Fatalf("%d bytes read and %d torn, want %d in total", w.size, w.tornBytes, len(content))
		}
		mustClose(t, w)
	})
}

package spool_test

import (
	"bytes"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"limeladder/internal/spool"
)

// The golden folder testdata/spool was written by the program at commit 4e3d53a. A process of that version that has
// died may have left such a folder, and the next version has to adopt it and send its messages.

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenFolder is the spool under testdata.
const goldenFolder = "testdata/spool"

func goldenOptions() spool.Options {
	return spool.Options{SegmentBytes: 64, MaxBytes: 1 << 20, MaxMessageBytes: 100}
}

// goldenMessages returns the messages that are added to the golden spool, in this order. The first one is delivered,
// the last two are prepended to all others.
func goldenMessages() [][]byte {
	return [][]byte{
		[]byte("delivered"),
		[]byte("<30>1 - site-a limeladder - - - second"),
		{0, 0xff, '\n', 0x5b, 0xa7},
		[]byte("third segment"),
		[]byte("older 1"),
		[]byte("older 2"),
	}
}

// writeSpool writes the golden spool to a folder below root and closes it.
func writeSpool(t *testing.T, root string) {
	t.Helper()
	writer, err := spool.Create(root, "spool", goldenOptions())
	if err != nil {
		t.Fatal(err)
	}
	messages := goldenMessages()
	if appended, err := writer.Append(messages[:4]); err != nil || appended != 4 {
		t.Fatalf("%d messages appended, want 4, %v", appended, err)
	}
	if read, err := writer.Next(nil, 1, 1<<20); err != nil || len(read) != 1 {
		t.Fatalf("%q read, want one message, %v", read, err)
	}
	writer.MarkDelivered(writer.ReadOffset())
	if err := writer.Prepend(messages[4:]); err != nil {
		t.Fatal(err)
	}
	// One message of the new oldest segment is delivered, so that the cursor points into the middle of the segment.
	if read, err := writer.Next(nil, 1, 1<<20); err != nil || len(read) != 1 {
		t.Fatalf("%q read, want one message, %v", read, err)
	}
	writer.MarkDelivered(writer.ReadOffset())
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
}

// readFolder returns the files of a folder by name.
func readFolder(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	err := fs.WalkDir(os.DirFS(folder), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		files[path], err = os.ReadFile(filepath.Join(folder, path))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestGoldenSpoolIsWritten(t *testing.T) {
	root := t.TempDir()
	writeSpool(t, root)
	written := readFolder(t, filepath.Join(root, "spool"))
	if *update {
		if err := os.RemoveAll(goldenFolder); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(goldenFolder, os.DirFS(filepath.Join(root, "spool"))); err != nil {
			t.Fatal(err)
		}
	}
	stored := readFolder(t, goldenFolder)
	names := []string{"00000000ffffffff.seg", "0000000100000001.seg", "cursor", "lock"}
	for _, folder := range []map[string][]byte{written, stored} {
		var got []string
		for name := range folder {
			got = append(got, name)
		}
		if slices.Sort(got); !slices.Equal(got, names) {
			t.Errorf("the folder holds %q, want %q", got, names)
		}
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			if !bytes.Equal(written[name], stored[name]) {
				t.Errorf("written as\n%q, want\n%q", written[name], stored[name])
			}
		})
	}
}

func TestGoldenSpoolIsAdopted(t *testing.T) {
	root := t.TempDir()
	if err := os.CopyFS(filepath.Join(root, "spool"), os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	left, err := spool.Adopt(root, goldenOptions())
	if err != nil || len(left) != 1 {
		t.Fatalf("%d spools adopted, want 1, %v", len(left), err)
	}
	adopted := left[0]
	messages := goldenMessages()
	want := [][]byte{messages[5], messages[1], messages[2], messages[3]}
	size := int64(0)
	for _, message := range want {
		size += int64(spool.Overhead + len(message))
	}
	if adopted.Size() != size {
		t.Errorf("%d bytes are left, want %d", adopted.Size(), size)
	}
	var got [][]byte
	for range want {
		read, err := adopted.Next(nil, len(want), 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range read {
			got = append(got, bytes.Clone(message))
		}
		adopted.MarkDelivered(adopted.ReadOffset())
	}
	if !slices.EqualFunc(got, want, bytes.Equal) {
		t.Errorf("the spool holds %q, want %q", got, want)
	}
	if adopted.Skipped() != 0 || !adopted.Empty() {
		t.Errorf("%d bytes were skipped and %d are left, want none", adopted.Skipped(), adopted.Size())
	}
	if err := adopted.Remove(); err != nil {
		t.Fatal(err)
	}
}

package hotrestart_test

import (
	"bytes"
	"flag"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/hotrestart"
)

// The golden folder testdata/shared was written by the program at commit 4e3d53a. During an upgrade in place a process
// of that version and its successor use one folder together, so names and contents of its files have to stay.

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenFolder is the shared folder under testdata.
const goldenFolder = "testdata/shared"

// goldenListed bounds the ids of endpoints that are kept.
const goldenListed = 3

// goldenList is a whole list of endpoints, as the program passes it on.
const goldenList = `{"version":41,"full":true,"servers":[{"id":"endpoint-1","addr":"127.0.0.1:6001","zone":"site-a",` +
	`"cell":3,"state":"draining","weight":1.5,"started_ms":1800000000000,"mode":"read-write"}]}`

// listens are addresses and the names of the folders that belong to them.
var listens = map[string]string{
	"127.0.0.1:6432":  "limeladder-127.0.0.1:6432",
	"[::1]:6432":      "limeladder-%5B::1%5D:6432",
	"/run/site-a/sql": "limeladder-%2Frun%2Fsite-a%2Fsql",
}

// start opens a folder as a process does that never looks at it by itself.
func start(t *testing.T, root, listen string) (*hotrestart.SharedState, hotrestart.State) {
	t.Helper()
	shared, state := hotrestart.Open(root, listen, goldenListed, slog.New(slog.DiscardHandler))
	shared.Watch(time.Hour, func(f func()) { f() }, nil)
	return shared, state
}

// writeShared does all that a process notes in the folder, and ends it.
func writeShared(t *testing.T, root, listen string) {
	t.Helper()
	shared, _ := start(t, root, listen)
	shared.SetSuspended("endpoint-1", true, func() {})
	shared.SetSuspended("site-a/endpoint 2", true, func() {})
	shared.SetSuspended("endpoint-3", true, func() {})
	shared.SetSuspended("endpoint-3", false, func() {})
	shared.SetDrained(true, func() {})
	shared.AddKnownEndpoints([]string{"endpoint-0", "endpoint-1"})
	shared.AddKnownEndpoints([]string{"site-a/endpoint 2", "endpoint-1", "endpoint-4"})
	shared.ShareEndpointList([]byte(goldenList))
	shared.Close()
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

func fileNames(files map[string][]byte) []string {
	var names []string
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func TestGoldenFolderIsWritten(t *testing.T) {
	for listen, name := range listens {
		t.Run(listen, func(t *testing.T) {
			root := t.TempDir()
			writeShared(t, root, listen)
			folder := filepath.Join(root, name)
			if *update {
				if err := os.RemoveAll(goldenFolder); err != nil {
					t.Fatal(err)
				}
				if err := os.CopyFS(goldenFolder, os.DirFS(folder)); err != nil {
					t.Fatal(err)
				}
			}
			written, stored := readFolder(t, folder), readFolder(t, goldenFolder)
			if got, want := fileNames(written), fileNames(stored); !slices.Equal(got, want) {
				t.Errorf("the folder holds %q, want %q", got, want)
			}
			for file, want := range stored {
				if !bytes.Equal(written[file], want) {
					t.Errorf("%s is written as\n%q, want\n%q", file, written[file], want)
				}
			}
		})
	}
}

// copyGolden puts the golden folder where a process that listens there looks for it, and returns its path.
func copyGolden(t *testing.T, root, listen string) string {
	t.Helper()
	folder := filepath.Join(root, listens[listen])
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	return folder
}

func TestGoldenFolderIsRead(t *testing.T) {
	for listen := range listens {
		t.Run(listen, func(t *testing.T) {
			root := t.TempDir()
			copyGolden(t, root, listen)
			shared, state := start(t, root, listen)
			defer shared.Close()
			want := hotrestart.State{
				Suspended:      map[string]bool{"endpoint-1": true, "site-a/endpoint 2": true},
				Drained:        true,
				KnownEndpoints: []string{"endpoint-1", "site-a/endpoint 2", "endpoint-4"},
				EndpointList:   []byte(goldenList),
			}
			if !reflect.DeepEqual(state, want) {
				t.Errorf("the folder says %+v, want %+v", state, want)
			}
			if !shared.StartedAlone() {
				t.Error("nobody serves, and the process is not the first")
			}
		})
	}
}

// lockFile holds the lock of a file, as a process of the old version does, and returns what lets go of it.
func lockFile(t *testing.T, path string) (unlock func()) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}
}

// isLocked says whether another open file holds the lock of a file.
func isLocked(t *testing.T, path string) bool {
	t.Helper()
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	locked := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	return locked
}

// The process that serves holds the lock of one file, the one that is to replace it holds that of another.
func TestGoldenLocks(t *testing.T) {
	const listen = "127.0.0.1:6432"
	t.Run("a process that serves alone", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		shared, _ := start(t, root, listen)
		defer shared.Close()
		if !isLocked(t, filepath.Join(folder, "serves")) {
			t.Error("it does not hold the lock of the process that serves")
		}
		if isLocked(t, filepath.Join(folder, "next")) {
			t.Error("it holds the lock of the successor")
		}
	})
	t.Run("a successor", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		unlock := lockFile(t, filepath.Join(folder, "serves"))
		defer unlock()
		shared, _ := start(t, root, listen)
		defer shared.Close()
		if shared.StartedAlone() {
			t.Error("a process of the old version serves, and the successor takes itself for the first")
		}
		if !isLocked(t, filepath.Join(folder, "next")) {
			t.Error("it does not hold the lock of the successor")
		}
	})
	t.Run("the ids of endpoints", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		before := readFolder(t, folder)
		unlock := lockFile(t, filepath.Join(folder, "edit"))
		shared, _ := start(t, root, listen)
		shared.AddKnownEndpoints([]string{"endpoint-5"})
		written := make(chan struct{})
		shared.SetDrained(true, func() { close(written) }) // it is done behind the first try at the ids
		<-written
		if after := readFolder(t, folder); !bytes.Equal(after["listed"], before["listed"]) {
			t.Errorf("the ids were changed to %q while another process held their lock", after["listed"])
		}
		shared.Close()
		unlock()
	})
}

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

// The golden folder testdata/shared was written by the program at commit 4e3d53a. During an in-place upgrade a process
// of that version shares a folder with its successor, so the names and formats of its files must not change.

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// goldenFolder is the shared folder under testdata.
const goldenFolder = "testdata/shared"

// goldenMaxKnown is the maximum number of known endpoints.
const goldenMaxKnown = 3

// sharedList is a complete endpoint list in the form in which the program shares it.
const sharedList = `{"version":41,"full":true,"servers":[{"id":"endpoint-1","addr":"127.0.0.1:6001","zone":"site-a",` +
	`"cell":3,"state":"draining","weight":1.5,"started_ms":1800000000000,"mode":"read-write"}]}`

// folderNames maps listen addresses to the names of their folders.
var folderNames = map[string]string{
	"127.0.0.1:6432":  "limeladder-127.0.0.1:6432",
	"[::1]:6432":      "limeladder-%5B::1%5D:6432",
	"/run/site-a/sql": "limeladder-%2Frun%2Fsite-a%2Fsql",
}

// start opens a folder as a process does, with a poll interval that the test does not reach.
func start(t *testing.T, root, listen string) (*hotrestart.SharedState, hotrestart.State) {
	t.Helper()
	shared, state := hotrestart.Open(root, listen, goldenMaxKnown, slog.New(slog.DiscardHandler))
	shared.Watch(time.Hour, func(f func()) { f() }, nil)
	return shared, state
}

// writeShared opens a folder, makes every kind of change that a process writes to it, and closes it.
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
	shared.ShareEndpointList([]byte(sharedList))
	shared.Close()
}

// readFolder returns the contents of the files below a folder, by name.
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
	for listen, name := range folderNames {
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
				t.Errorf("the folder contains %q, want %q", got, want)
			}
			for file, want := range stored {
				if !bytes.Equal(written[file], want) {
					t.Errorf("%s is written as\n%q, want\n%q", file, written[file], want)
				}
			}
		})
	}
}

// copyGolden copies the golden folder to where a process that listens at the address expects it, and returns its path.
func copyGolden(t *testing.T, root, listen string) string {
	t.Helper()
	folder := filepath.Join(root, folderNames[listen])
	if err := os.CopyFS(folder, os.DirFS(goldenFolder)); err != nil {
		t.Fatal(err)
	}
	return folder
}

func TestGoldenFolderIsRead(t *testing.T) {
	for listen := range folderNames {
		t.Run(listen, func(t *testing.T) {
			root := t.TempDir()
			copyGolden(t, root, listen)
			shared, state := start(t, root, listen)
			defer shared.Close()
			want := hotrestart.State{
				Suspended:      map[string]bool{"endpoint-1": true, "site-a/endpoint 2": true},
				Drained:        true,
				KnownEndpoints: []string{"endpoint-1", "site-a/endpoint 2", "endpoint-4"},
				EndpointList:   []byte(sharedList),
			}
			if !reflect.DeepEqual(state, want) {
				t.Errorf("the state in the folder is %+v, want %+v", state, want)
			}
			if !shared.StartedAlone() {
				t.Error("StartedAlone is false although no other process serves")
			}
		})
	}
}

// lockFile locks a file, as a process of the old version does, and returns a function that unlocks it.
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

// isLocked reports whether a file is locked through another open file.
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

// The serving process and its successor hold the locks of different files, and known endpoints are only written under
// the edit lock.
func TestGoldenLocks(t *testing.T) {
	const listen = "127.0.0.1:6432"
	t.Run("process that serves alone", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		shared, _ := start(t, root, listen)
		defer shared.Close()
		if !isLocked(t, filepath.Join(folder, "serves")) {
			t.Error("the process does not hold the serving lock")
		}
		if isLocked(t, filepath.Join(folder, "next")) {
			t.Error("the process holds the successor lock")
		}
	})
	t.Run("successor", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		unlock := lockFile(t, filepath.Join(folder, "serves"))
		defer unlock()
		shared, _ := start(t, root, listen)
		defer shared.Close()
		if shared.StartedAlone() {
			t.Error("StartedAlone is true although a process of the old version serves")
		}
		if !isLocked(t, filepath.Join(folder, "next")) {
			t.Error("the successor does not hold the successor lock")
		}
	})
	t.Run("known endpoints while another process edits them", func(t *testing.T) {
		root := t.TempDir()
		folder := copyGolden(t, root, listen)
		before := readFolder(t, folder)
		unlock := lockFile(t, filepath.Join(folder, "edit"))
		shared, _ := start(t, root, listen)
		shared.AddKnownEndpoints([]string{"endpoint-5"})
		written := make(chan struct{})
		shared.SetDrained(true, func() { close(written) }) // runs after the first attempt to add the id
		<-written
		if after := readFolder(t, folder); !bytes.Equal(after["listed"], before["listed"]) {
			t.Errorf("the known endpoints were changed to %q while another process held the edit lock", after["listed"])
		}
		shared.Close()
		unlock()
	})
}

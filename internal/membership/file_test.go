package membership

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestFileKeepsTheList(t *testing.T) {
	folder := t.TempDir()
	file := NewFile(folder, 1<<10)
	if _, err := file.Load(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("loading without a file: got error %v, want fs.ErrNotExist", err)
	}
	for _, want := range []Snapshot{list(41, 0, ready("a"), draining("b")), list(3, 41, ready("a"))} {
		if err := file.Save(want); err != nil {
			t.Fatal(err)
		}
		if got, err := file.Load(); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	// A crash during a save leaves a part of the new file beside the earlier one.
	if err := os.WriteFile(filepath.Join(folder, "endpoints.new"), []byte(`{"ver`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := file.Load(); err != nil || got.Version != 3 {
		t.Errorf("after a torn save: got %+v, %v, want version 3", got, err)
	}
	if err := file.Save(list(4, 41, ready("a"))); err != nil {
		t.Errorf("saving after a torn save: %v", err)
	}
}

// A file that can't be used is an error that names it, and no list.
func TestFileRejectsWhatIsNoList(t *testing.T) {
	for _, test := range []struct{ name, content, want string }{
		{"torn", `{"version":41,"full":true,"serv`, "unexpected end"},
		{"unknown state", `{"version":1,"servers":[{"id":"a","state":"well"}]}`, `servers[0].state: unknown state "well"`},
		{"no id", `{"version":1,"servers":[{"state":"ready"}]}`, "servers[0].id: "},
		{"too long", strings.Repeat(" ", 1<<10) + `{}`, ErrTooLong.Error()},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "endpoints")
			if err := os.WriteFile(path, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := NewFile(folder, 1<<10).Load()
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("got error %v, want one with %q and the path", err, test.want)
			}
			if len(got.Endpoints) > 0 {
				t.Errorf("got %+v, want no list", got)
			}
		})
	}
}

// Saving in a folder that does not exist is an error.
func TestFileNeedsItsFolder(t *testing.T) {
	if err := NewFile(filepath.Join(t.TempDir(), "none"), 1<<10).Save(list(1, 0, ready("a"))); err == nil {
		t.Error("no error")
	}
}

package hotrestart

import (
	"os"
	"slices"
	"testing"
)

func TestUnion(t *testing.T) {
	for _, test := range []struct {
		name  string
		ids   []string
		more  []string
		limit int
		want  []string
	}{
		{"empty", nil, nil, 3, nil},
		{"new ids come last", []string{"a"}, []string{"b", "c"}, 3, []string{"a", "b", "c"}},
		{"known ids keep their place", []string{"a", "b"}, []string{"a", "c"}, 3, []string{"a", "b", "c"}},
		{"repeated ids", []string{"a", "a"}, []string{"b", "b"}, 3, []string{"a", "b"}},
		{"the oldest are dropped", []string{"a", "b"}, []string{"c", "d"}, 3, []string{"b", "c", "d"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := union(test.ids, test.more, test.limit); !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A file counts as changed if it was written since the last check, and not otherwise.
func TestFolderChanged(t *testing.T) {
	f, err := createFolder(t.TempDir(), testAddress)
	if err != nil {
		t.Fatal(err)
	}
	checkChanged := func(when string, want bool) {
		t.Helper()
		if got := f.changed(endpointListFile, &f.endpointListInfo); got != want {
			t.Errorf("%s: changed %v, want %v", when, got, want)
		}
	}
	checkChanged("no file", false)
	for _, content := range []string{"one", "two"} {
		if err := f.write(endpointListFile, []byte(content)); err != nil {
			t.Fatal(err)
		}
		checkChanged(content+" is written", true)
		checkChanged(content+" was read", false)
	}
	if err := f.remove(endpointListFile); err != nil {
		t.Fatal(err)
	}
	checkChanged("removed", false)
	if err := f.remove(endpointListFile); err != nil {
		t.Errorf("removing a file that does not exist: %v", err)
	}
}

func TestTemporaryFilesAreRemoved(t *testing.T) {
	f, err := createFolder(t.TempDir(), testAddress)
	if err != nil {
		t.Fatal(err)
	}
	leftOver := f.file("part.1")
	if err := os.WriteFile(leftOver, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	f.removeTemporaryFiles()
	if _, err := os.Stat(leftOver); !os.IsNotExist(err) {
		t.Errorf("%s still exists, stat returns %v", leftOver, err)
	}
}

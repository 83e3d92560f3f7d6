package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"limeladder/internal/testserver/check"
)

// filesContaining returns the files below a folder that contain a text as it is, or encoded in base64 once or twice.
func filesContaining(t *testing.T, folder, text string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // the folder was removed during the walk
		}
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // the file was removed during the walk
		}
		if err == nil && check.HoldsText(content, text, 2) {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Guards against a secret that remains in the log and in snapshots after its record was replaced.
func TestPurgedValuesAreRemovedFromDisk(t *testing.T) {
	const secret = "a secret that earlier versions of the program have stored"
	c := newCluster(t, 3, 8)
	mustPut(t, c.members["m0"], "config/m0", secret)
	for name, s := range c.members {
		eventuallyHas(t, name, s, "config/m0", secret)
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
		if len(filesContaining(t, filepath.Join(c.folder, name), secret)) < 2 {
			t.Fatal("the secret is in fewer than 2 files, want it in the log and the snapshot")
		}
	}
	c.purge = func(_ string, value []byte) bool { return bytes.Contains(value, []byte(secret)) }
	for name := range c.addresses {
		c.stopAndRestart(t, name)
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "config/m0", secret) // purging must not drop a current record
	}
	mustPut(t, c.members["m0"], "config/m0", "no secret")
	mustPut(t, c.members["m0"], "other", "value")
	for name, s := range c.members {
		eventually(t, fmt.Sprintf("%s has no secret on its disk", name), func() bool {
			return len(filesContaining(t, filepath.Join(c.folder, name), secret)) == 0
		})
		eventuallyHas(t, name, s, "other", "value")
	}
	for name := range c.addresses {
		c.stopAndRestart(t, name)
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "config/m0", "no secret")
		eventuallyHas(t, name, s, "other", "value")
	}
}

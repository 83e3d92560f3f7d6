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

// filesHolding returns the files below a folder that hold a text, in the clear or in base64 of once or twice.
func filesHolding(t *testing.T, folder, text string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a folder that was removed meanwhile
		}
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a snapshot that was removed meanwhile
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

// Guards against a value that must not be on the disk and stays in the log and in snapshots after it was replaced.
func TestPurgedValuesLeaveTheDisk(t *testing.T) {
	const secret = "a secret that earlier versions of the program have stored"
	c := newCluster(t, 3, 8)
	mustPut(t, c.members["m0"], "config/m0", secret)
	for name, s := range c.members {
		eventuallyHas(t, name, s, "config/m0", secret)
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
		if len(filesHolding(t, filepath.Join(c.folder, name), secret)) < 2 {
			t.Fatal("the test finds no secret in the log and the snapshot")
		}
	}
	c.purge = func(_ string, value []byte) bool { return bytes.Contains(value, []byte(secret)) }
	for name := range c.addresses {
		c.stopAndRestart(t, name)
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "config/m0", secret) // it is a record still, and not lost
	}
	mustPut(t, c.members["m0"], "config/m0", "no secret")
	mustPut(t, c.members["m0"], "other", "value")
	for name, s := range c.members {
		eventually(t, fmt.Sprintf("%s has no secret on its disk", name), func() bool {
			return len(filesHolding(t, filepath.Join(c.folder, name), secret)) == 0
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

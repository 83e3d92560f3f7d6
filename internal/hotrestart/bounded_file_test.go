package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// Guards against files that take unbounded memory, and against named pipes that block the reader forever.
func TestReadBounded(t *testing.T) {
	const limit = 1000
	folder := t.TempDir()
	write := func(name string, size int) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	fifo := filepath.Join(folder, "fifo")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, path     string
		size           int
		unusable, none bool
	}{
		{name: "empty", path: write("empty", 0)},
		{name: "as long as allowed", path: write("full", limit), size: limit},
		{name: "longer", path: write("longer", limit+1), unusable: true},
		{name: "named pipe", path: fifo, unusable: true},
		{name: "folder", path: folder, unusable: true},
		{name: "no file", path: filepath.Join(folder, "none"), none: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			content, err := readBounded(test.path, limit)
			var unusable *UnusableFileError
			if errors.As(err, &unusable) != test.unusable || errors.Is(err, fs.ErrNotExist) != test.none {
				t.Errorf("got error %v", err)
			}
			if len(content) != test.size {
				t.Errorf("got %d bytes, want %d", len(content), test.size)
			}
		})
	}
}

// An unusable file is skipped and logged once, and the other files are read.
func TestUnusableFilesAreSkipped(t *testing.T) {
	root := t.TempDir()
	f, err := createFolder(root, testAddress)
	if err != nil {
		t.Fatal(err)
	}
	var logged bytes.Buffer
	f.log = slog.New(slog.NewTextHandler(&logged, nil))
	large := make([]byte, maxEndpointListBytes+1)
	for name, content := range map[string][]byte{
		endpointListFile:   large,
		knownEndpointsFile: large,
		filepath.Join(suspendedFolder, suspendedFileName("s1")): []byte("s1"),
		filepath.Join(suspendedFolder, suspendedFileName("s2")): large,
	} {
		if err := f.write(name, content); err != nil {
			t.Fatal(err)
		}
	}
	before := State{KnownEndpoints: []string{"s9"}, EndpointList: []byte("{}")}
	for range 3 {
		now := f.read(before, 10)
		suspended := now.Suspended["s1"] && !now.Suspended["s2"]
		if !suspended || !slices.Equal(now.KnownEndpoints, before.KnownEndpoints) || string(now.EndpointList) != "{}" {
			t.Fatalf("got %+v, want only s1 suspended and the rest as before", now)
		}
	}
	if got := strings.Count(logged.String(), "shared state not read"); got != 3 {
		t.Errorf("%d lines logged, want one for each of 3 files:\n%s", got, &logged)
	}
}

// The file of known endpoints never exceeds the size that can be read again, even with long ids.
func TestKnownEndpointsFileStaysWithinLimit(t *testing.T) {
	var ids []string
	for i := range 300 {
		ids = append(ids, strings.Repeat(string(rune('a'+i%26)), 10_000+i))
	}
	content, err := encodeKnownEndpoints(ids)
	if err != nil || len(content) > maxKnownEndpointsBytes {
		t.Fatalf("encoded %d bytes with error %v, want at most 2 MiB", len(content), err)
	}
	var kept []string
	if err := json.Unmarshal(content, &kept); err != nil || len(kept) == 0 || kept[len(kept)-1] != ids[len(ids)-1] {
		t.Errorf("kept %d ids, error %v, want at least the last id", len(kept), err)
	}
}

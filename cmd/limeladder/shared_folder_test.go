package main

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// peakMemoryKiB returns the peak resident memory of a process, in KiB.
func peakMemoryKiB(t *testing.T, pid int) (peak int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, line, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		t.Fatal("the status of the process has no VmHWM line")
	}
	if _, err := fmt.Sscan(line, &peak); err != nil {
		t.Fatal(err)
	}
	return peak
}

// startWithSharedFiles starts a router after prepare has created files in its shared folder.
func startWithSharedFiles(t *testing.T, prepare func(folder string)) *routerProcess {
	t.Helper()
	router := newRouterProcess(t, nil)
	router.writeFile("deploy.toml", "")
	start := router.useInheritedSocket()
	folder := filepath.Join(router.dir, "tmp", "limeladder-"+url.PathEscape(router.address))
	if err := os.MkdirAll(folder+"/suspended", 0o700); err != nil {
		t.Fatal(err)
	}
	prepare(folder)
	router.cmd = start()
	return router
}

// Guards against reading a file in the shared folder that is too large for the router's memory.
func TestLargeSharedFilesAreNotRead(t *testing.T) {
	const fileBytes = 40 << 20
	baseline := startWithSharedFiles(t, func(string) {})
	router := startWithSharedFiles(t, func(folder string) {
		id := make([]byte, fileBytes)
		for name, content := range map[string][]byte{
			"list":                                 id,
			"listed":                               id,
			"suspended/" + strings.Repeat("0", 64): id,
		} {
			if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	})
	router.sendRequests("one", "look", 5, clientDeadline)
	const maxExtraKiB = 16 << 10
	peak := peakMemoryKiB(t, router.cmd.Process.Pid)
	baselinePeak := peakMemoryKiB(t, baseline.cmd.Process.Pid)
	if peak > baselinePeak+maxExtraKiB {
		t.Errorf("got peak memory of %d KiB, %d KiB without such files, want at most 16 MiB more", peak, baselinePeak)
	}
	router.stop()
	baseline.stop()
}

// Guards against blocking on a named pipe in the shared folder.
func TestNamedPipeInSharedFolderDoesNotBlock(t *testing.T) {
	router := startWithSharedFiles(t, func(folder string) {
		if err := syscall.Mkfifo(filepath.Join(folder, "list"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	router.callAdminAPI("db-machines/s2/suspend", 200)
	router.stop()
}

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

// peakMemory returns the most memory that a process has had, in KiB.
func peakMemory(t *testing.T, pid int) (peak int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, line, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		t.Fatal("the system does not tell the peak")
	}
	if _, err := fmt.Sscan(line, &peak); err != nil {
		t.Fatal(err)
	}
	return peak
}

// startWithSharedFiles starts a router whose shared folder has files before it starts.
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

// Guards against a file of the shared folder that takes more memory than the router has.
func TestLargeSharedFilesAreNotRead(t *testing.T) {
	const fileBytes = 40 << 20
	usual := startWithSharedFiles(t, func(string) {})
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
	const mostMoreKiB = 16 << 10
	peak := peakMemory(t, router.cmd.Process.Pid)
	without := peakMemory(t, usual.cmd.Process.Pid)
	if peak > without+mostMoreKiB {
		t.Errorf("%d KiB, %d without such files", peak, without)
	}
	router.stop()
	usual.stop()
}

// Guards against a named pipe in the shared folder that the router waits for.
func TestNamedPipeInTheSharedFolderIsNotWaitedFor(t *testing.T) {
	router := startWithSharedFiles(t, func(folder string) {
		if err := syscall.Mkfifo(filepath.Join(folder, "list"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	router.callAdminAPI("db-machines/s2/suspend", 200)
	router.stop()
}

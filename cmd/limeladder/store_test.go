package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/hotrestart"
	"limeladder/internal/store"
	"limeladder/internal/testserver/check"
)

// storeDeploy returns the text of a deploy file with a store of one member.
func storeDeploy(folder, address string) string {
	return fmt.Sprintf("[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\nn1 = %q\n", folder, address)
}

// Guards against a new process that doesn't store its settings after a hot restart, so that the old ones stay.
func TestSettingsAreStoredAfterHotRestart(t *testing.T) {
	router := newRouterProcess(t, nil)
	folder := t.TempDir()
	settings := storeDeploy(folder, freeAddress(t))
	stored := func(text string) func() bool {
		return func() bool {
			content, err := os.ReadFile(folder + "/log")
			return err == nil && check.HoldsText(content, text, 2)
		}
	}
	router.writeFile("deploy.toml", "[changeover]\nclasses = [\"job\"]\ncount = 111\n"+settings)
	start := router.useInheritedSocket()
	oldProcess := start()
	router.waitFor("the first settings are stored", stored(`"Count":111`))
	router.writeFile("deploy.toml", "[changeover]\nclasses = [\"job\"]\ncount = 222\n"+settings)
	start()
	signalProcess(t, oldProcess, syscall.SIGTERM)
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	router.waitFor("the second settings are stored", stored(`"Count":222`))
}

// lockedBuffer is a log buffer that several goroutines can write and read.
type lockedBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// startSuccessor runs a router that doesn't open its store, because the test acts as an older process of the same
// router that is still alive.
func startSuccessor(t *testing.T, deploy config.Deploy) (d *daemon, ended <-chan struct{}, log *lockedBuffer) {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	cfg := parseConfig(t, configText("127.0.0.1:1"))
	predecessor, _ := hotrestart.Open(os.Getenv("TMPDIR"), cfg.Listen, 10, discardLog())
	predecessor.Watch(time.Hour, func(func()) {}, nil)
	t.Cleanup(predecessor.Close)
	log = &lockedBuffer{}
	d, err := newDaemon(cfg, deploy, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		d.run()
		close(done)
	}()
	t.Cleanup(func() {
		d.loop.Stop()
		<-done
	})
	return d, done, log
}

// Guards against opening the store twice, and against reading the limits while the event loop changes them, if another
// process starts and ends several times in quick succession.
func TestStoreIsOpenedOnceAfterHotRestart(t *testing.T) {
	folder := t.TempDir()
	d, _, log := startSuccessor(t, parseDeploy(t, storeDeploy(folder, freeAddress(t))))
	runInLoop(d, func() {
		for range 5 {
			d.AloneChanged(true)
			d.AloneChanged(false)
		}
		d.AloneChanged(true)
	})
	eventually(t, "the store is ready", func() bool {
		ready := false
		runInLoop(d, func() { ready = d.store != nil && d.store.Ready() })
		return ready
	})
	eventually(t, "the settings are stored", func() bool {
		found := false
		runInLoop(d, func() { _, found = d.store.Get(configKeyPrefix + d.name) })
		return found
	})
	if text := log.String(); strings.Contains(text, "store not opened") {
		t.Errorf("the store was opened more than once:\n%s", text)
	}
}

// Guards against a store that is left open because the program ends while it is being opened.
func TestStoreBeingOpenedIsClosedAtExit(t *testing.T) {
	address := freeAddress(t)
	deploy := parseDeploy(t, storeDeploy(t.TempDir(), address))
	d, ended, log := startSuccessor(t, deploy)
	runInLoop(d, func() {
		d.AloneChanged(true)
		d.loop.Stop()
	})
	<-ended
	if acceptsConnections(address) {
		t.Errorf("the store still listens:\n%s", log)
	}
	again, err := store.Open(d.storeConfig(), discardLog())
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}

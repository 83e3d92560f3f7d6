package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each SIGHUP moves the discovery watch to the address in the new configuration, an invalid configuration changes
// nothing, and a SIGTERM after several SIGHUPs still ends the program with exit code 0.
func TestReloadMovesTheDiscoveryWatch(t *testing.T) {
	path := t.TempDir() + "/config.json"
	firstAddress, firstPolls := newCountingDiscovery(t)
	writeFile(t, path, configText(firstAddress))
	cmd := programCommand(path)
	var log strings.Builder
	cmd.Stderr = &log
	startProgram(t, cmd)
	requirePoll(t, "the first discovery", firstPolls)
	for range 3 {
		address, polls := newCountingDiscovery(t)
		writeFile(t, path, configText("nowhere"))
		signalProcess(t, cmd, syscall.SIGHUP)
		writeFile(t, path, configText(address))
		signalProcess(t, cmd, syscall.SIGHUP)
		requirePoll(t, "a new discovery", polls)
	}
	writeFile(t, path, configText("nowhere"))
	signalProcess(t, cmd, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // signals sent at the same time may arrive in any order
	signalProcess(t, cmd, syscall.SIGTERM)
	signalProcess(t, cmd, syscall.SIGHUP)
	err := cmd.Wait()
	if err != nil || !strings.Contains(log.String(), `error="discovery: address nowhere: missing port`) {
		t.Fatalf("want exit code 0 and a log of the invalid discovery address, got %v\n%s", err, log.String())
	}
}

// newCountingDiscovery starts a discovery server with an empty list. It sends to polls at each poll for the complete
// list.
func newCountingDiscovery(t *testing.T) (address string, polls <-chan bool) {
	t.Helper()
	arrivals := make(chan bool, 99)
	address = newDiscovery(t, func() string {
		arrivals <- true
		return `{"version":0,"full":true,"servers":[]}`
	})
	return address, arrivals
}

func requirePoll(t *testing.T, what string, polls <-chan bool) {
	t.Helper()
	select {
	case <-polls:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s was not polled for the complete list within 20 s", what)
	}
}

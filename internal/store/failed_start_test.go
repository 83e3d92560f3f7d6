package store

import (
	"net"
	"testing"
)

// Guards against raft that goes on running, with the member's address and a closed log, where a start fails half way.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	addresses := peers(t, 1)
	addresses["m1"] = addresses["m0"] // two members at one address: raft refuses to begin with them
	if _, err := Open(Config{Name: "m0", Folder: t.TempDir(), Peers: addresses}, discardLog); err == nil {
		t.Fatal("started")
	}
	listener, err := net.Listen("tcp", addresses["m0"])
	if err != nil {
		t.Fatalf("the address is still taken: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}

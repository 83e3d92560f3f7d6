package store

import (
	"net"
	"testing"
)

// Guards against raft still running after a failed start, with the member's address in use and its log closed.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	addresses := peers(t, 1)
	addresses["m1"] = addresses["m0"] // raft rejects an initial configuration with two members at one address
	if _, err := Open(Config{Name: "m0", Folder: t.TempDir(), Peers: addresses}, discardLog); err == nil {
		t.Fatal("the member started with two members at one address, want an error")
	}
	listener, err := net.Listen("tcp", addresses["m0"])
	if err != nil {
		t.Fatalf("the address is still in use: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}

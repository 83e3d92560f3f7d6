package store

import (
	"path/filepath"
	"testing"
)

// Guards against a member that crashes when another member forwards a write to it during its start.
func TestForwardedWriteWhileStarting(t *testing.T) {
	c := newCluster(t, 2, 8)
	c.leader(t)
	c.stop(t, "m0")
	stopForwarding := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stopForwarding:
				return
			default:
				_, _ = c.members["m1"].stream.forward(c.addresses["m0"], []byte("{}")) // the response is irrelevant
			}
		}
	}()
	for range 20 {
		s, err := Open(Config{
			Name: "m0", Folder: filepath.Join(c.folder, "m0"), Peers: c.addresses, LogEntries: 8, QueuedWrites: 1,
		}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
	close(stopForwarding)
	<-stopped
}

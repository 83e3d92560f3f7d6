package transport

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var errNoDescriptor = errors.New("no descriptor is free")

// failingListener is a listener whose every Accept fails until it is closed.
type failingListener struct {
	net.Listener
	closed atomic.Bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, errNoDescriptor
}

func (f *failingListener) Close() error {
	f.closed.Store(true)
	return nil
}

// Guards against a Close of a listener that waits for the delay after a failed accept.
func TestCloseDoesNotWaitForTheAcceptBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &Engine{}
		listener := engine.Serve(&failingListener{}, 1, func(func()) {}, slog.New(slog.DiscardHandler), nil)
		time.Sleep(10 * maxAcceptBackoff) // the backoff has reached its maximum by now
		closedAt := time.Now()
		listener.Close()
		if waited := time.Since(closedAt); waited > 0 {
			t.Errorf("Close waited for %v, want no wait", waited)
		}
	})
}

package limits

import (
	"testing"
	"time"
)

// The sizes fit into what the platform grants, the smallest router too.
func TestBudgets(t *testing.T) {
	for _, m := range []int{32, 48, 64, 128, 192} {
		for _, sockets := range []int{256, 384, 1024} {
			l := New(m, sockets, 250*time.Millisecond, 15*time.Second, 10*time.Second)
			if n := l.Frontend.Connections + l.Backend.Connections; n > sockets-32 || l.Frontend.SoftLimit >= l.Frontend.Connections || l.Frontend.Connections < sockets/3+sockets/6 {
				t.Errorf("%d sockets: %d for clients, %d for db machines", sockets, l.Frontend.Connections, l.Backend.Connections)
			}
			// Two processes at once: clients hold a third of the descriptors for requests, wherever they are.
			if lean := l.DuringHotRestart(); lean.Frontend.Connections < sockets/3 || 2*lean.Backend.Connections+sockets/3+2*(sockets-l.Frontend.Connections-l.Backend.Connections) > sockets || 2*lean.Memory.TargetBytes > l.Memory.TargetBytes {
				t.Errorf("%d sockets: two processes with %d for clients, %d for db machines each", sockets, lean.Frontend.Connections, lean.Backend.Connections)
			}
			memory := int64(m) << 20
			if l.Memory.TargetBytes > memory*2/3 || int64(l.Frontend.BufferedBytes) > memory/8 || int64(l.Transport.InboxBytes) > memory/16 || l.Frontend.UnreadBytes < l.Backend.ResponseBytes {
				t.Errorf("%d MB: %+v", m, l)
			}
			if l.Backend.ResponseBytes < 400<<10 || l.Memory.GCPercent <= 100 {
				t.Errorf("%d MB: values of several hundred KB are usual: %+v", m, l)
			}
		}
	}
}

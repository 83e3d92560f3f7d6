package limits

import (
	"testing"
	"time"
)

// The sizes fit into what the platform grants, the smallest router too.
func TestBudgets(t *testing.T) {
	for _, m := range []int{32, 48, 64, 128, 192} {
		for _, sockets := range []int{256, 384, 1024} {
			l := For(m, sockets, 250*time.Millisecond, 15*time.Second, 10*time.Second)
			if n := l.Clients + l.Connections; n > sockets-32 || l.ClientsEasy >= l.Clients || l.Clients < sockets/3+sockets/6 {
				t.Errorf("%d sockets: %d for clients, %d for db machines", sockets, l.Clients, l.Connections)
			}
			// Two processes at once: clients hold a third of the descriptors for requests, wherever they are.
			if lean := l.Lean(); lean.Clients < sockets/3 || 2*lean.Connections+sockets/3+2*(sockets-l.Clients-l.Connections) > sockets || 2*lean.Memory > l.Memory {
				t.Errorf("%d sockets: two processes with %d for clients, %d for db machines each", sockets, lean.Clients, lean.Connections)
			}
			memory := int64(m) << 20
			if l.Memory > memory*2/3 || int64(l.Buffered) > memory/8 || int64(l.Inbox) > memory/16 || l.Unread < l.Answer {
				t.Errorf("%d MB: %+v", m, l)
			}
			if l.Answer < 400<<10 || l.Garbage <= 100 {
				t.Errorf("%d MB: values of several hundred KB are usual: %+v", m, l)
			}
		}
	}
}

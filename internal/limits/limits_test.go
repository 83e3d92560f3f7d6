package limits

import (
	"fmt"
	"testing"
	"time"
)

// grant is what the platform gives a router.
type grant struct {
	memoryMiB   int
	descriptors int
}

func (g grant) String() string {
	return fmt.Sprintf("%d MiB and %d descriptors", g.memoryMiB, g.descriptors)
}

func (g grant) limits() Limits {
	return New(g.memoryMiB, g.descriptors, 250*time.Millisecond, 15*time.Second, 10*time.Second)
}

// grants returns all sizes of routers, the smallest one too.
func grants() []grant {
	var all []grant
	for _, memoryMiB := range []int{32, 48, 64, 128, 192} {
		for _, descriptors := range []int{256, 384, 1024} {
			all = append(all, grant{memoryMiB, descriptors})
		}
	}
	return all
}

// checkAtMost checks that a number does not exceed another one.
func checkAtMost[T int | int64](t *testing.T, what string, got, highest T) {
	t.Helper()
	if got > highest {
		t.Errorf("%s: %d, want at most %d", what, got, highest)
	}
}

// The connections fit into the descriptors, and clients get enough of them.
func TestDescriptors(t *testing.T) {
	for _, g := range grants() {
		t.Run(g.String(), func(t *testing.T) {
			l := g.limits()
			connections := l.Frontend.Connections + l.Backend.Connections
			checkAtMost(t, "connections", connections, g.descriptors-32)
			checkAtMost(t, "soft limit", l.Frontend.SoftLimit, l.Frontend.Connections-1)
			checkAtMost(t, "half of the descriptors", g.descriptors/3+g.descriptors/6, l.Frontend.Connections)
		})
	}
}

// Two processes at once fit into what one is granted. Clients hold a third of the descriptors for requests, in
// whichever process they are.
func TestDuringHotRestart(t *testing.T) {
	for _, g := range grants() {
		t.Run(g.String(), func(t *testing.T) {
			l := g.limits()
			lean := l.DuringHotRestart()
			clients := g.descriptors / 3
			others := g.descriptors - l.Frontend.Connections - l.Backend.Connections
			checkAtMost(t, "descriptors for requests", clients, lean.Frontend.Connections)
			checkAtMost(t, "descriptors", 2*lean.Backend.Connections+clients+2*others, g.descriptors)
			checkAtMost(t, "memory", 2*lean.Memory.TargetBytes, l.Memory.TargetBytes)
		})
	}
}

// The buffers fit into the memory, and the usual values of several hundred KiB fit into the buffers.
func TestMemory(t *testing.T) {
	for _, g := range grants() {
		t.Run(g.String(), func(t *testing.T) {
			l := g.limits()
			memory := int64(g.memoryMiB) << 20
			checkAtMost(t, "target", l.Memory.TargetBytes, memory*2/3)
			checkAtMost(t, "buffers of clients", int64(l.Frontend.BufferedBytes), memory/8)
			checkAtMost(t, "inbox", int64(l.Transport.InboxBytes), memory/16)
			checkAtMost(t, "a response", l.Backend.ResponseBytes, l.Frontend.UnreadBytes)
			checkAtMost(t, "a usual value", 400<<10, l.Backend.ResponseBytes)
			checkAtMost(t, "the usual percentage of garbage", 101, l.Memory.GCPercent)
		})
	}
}

package limits

import (
	"fmt"
	"testing"
	"time"
)

// grant is the resources that the platform grants to a router.
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

// grants returns grants of all sizes, including the smallest one.
func grants() []grant {
	var all []grant
	for _, memoryMiB := range []int{32, 48, 64, 128, 192} {
		for _, descriptors := range []int{256, 384, 1024} {
			all = append(all, grant{memoryMiB, descriptors})
		}
	}
	return all
}

// checkAtMost checks that got does not exceed highest.
func checkAtMost[T int | int64](t *testing.T, what string, got, highest T) {
	t.Helper()
	if got > highest {
		t.Errorf("%s: got %d, want at most %d", what, got, highest)
	}
}

// All connections fit into the granted descriptors, and clients get enough of them.
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

// Two processes together fit into the grant of one router. Clients use a third of the descriptors for their requests,
// whichever of the processes they are connected to.
func TestDuringHotRestart(t *testing.T) {
	for _, g := range grants() {
		t.Run(g.String(), func(t *testing.T) {
			l := g.limits()
			halved := l.DuringHotRestart()
			clients := g.descriptors / 3
			others := g.descriptors - l.Frontend.Connections - l.Backend.Connections
			checkAtMost(t, "descriptors for requests", clients, halved.Frontend.Connections)
			checkAtMost(t, "descriptors", 2*halved.Backend.Connections+clients+2*others, g.descriptors)
			checkAtMost(t, "memory", 2*halved.Memory.TargetBytes, l.Memory.TargetBytes)
		})
	}
}

// The buffers fit into the granted memory, and common values of several hundred KiB fit into the buffers.
func TestMemory(t *testing.T) {
	for _, g := range grants() {
		t.Run(g.String(), func(t *testing.T) {
			l := g.limits()
			memory := int64(g.memoryMiB) << 20
			checkAtMost(t, "memory target", l.Memory.TargetBytes, memory*2/3)
			checkAtMost(t, "client buffers", int64(l.Frontend.BufferedBytes), memory/8)
			reserved := l.Frontend.Connections * l.Frontend.ReservedInputBytes
			checkAtMost(t, "reserved input of all connections", reserved, l.Frontend.BufferedBytes/2)
			checkAtMost(t, "request of 1 KiB", 1<<10, l.Frontend.ReservedInputBytes)
			checkAtMost(t, "streamed responses", int64(l.Frontend.StreamedBytes), memory/16)
			least := int64(l.Backend.Connections * l.Frontend.MinStreamedBytes)
			checkAtMost(t, "least of all streamed responses", least, memory/8)
			checkAtMost(t, "inbox", int64(l.Transport.InboxBytes), memory/16)
			checkAtMost(t, "response bytes", l.Backend.ResponseBytes, l.Frontend.UnreadBytes)
			checkAtMost(t, "400 KiB value", 400<<10, l.Backend.ResponseBytes)
			checkAtMost(t, "Go's default GC percentage plus one", 101, l.Memory.GCPercent)
		})
	}
}

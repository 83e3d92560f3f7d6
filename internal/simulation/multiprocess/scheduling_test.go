package multiprocess

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// TestDelaysAreInTheHistory guards against a run whose result does not show that the driver or a router had to wait for
// a processor.
func TestDelaysAreInTheHistory(t *testing.T) {
	log := history.New()
	m := &schedulingMonitor{log: log, delays: SchedulingDelays{}, waits: map[string]time.Duration{}}
	m.record("r1", notableDelay/2)
	m.record("driver", 2*time.Second)
	m.record("driver", notableDelay)
	if text := m.delays.String(); text != "driver 2s, r1 25ms" {
		t.Error(text)
	}
	var noted []string
	for _, entry := range log.Entries() {
		noted = append(noted, entry.Fact.String())
	}
	if got := strings.Join(noted, "; "); got != "driver waited 2s for a processor; driver waited 50ms for a processor" {
		t.Error(got)
	}
}

// TestThreadWaitsAreRead checks that the waiting times of threads can be read from the system.
func TestThreadWaitsAreRead(t *testing.T) {
	if _, ok := threadWait(fmt.Sprintf("/proc/%d/task/%d", os.Getpid(), os.Getpid())); !ok {
		t.Error("got no schedstat figures of this process, want the system to provide them")
	}
	m := &schedulingMonitor{waits: map[string]time.Duration{}}
	m.longestWait(os.Getpid())
	if wait := m.longestWait(os.Getpid()); wait < 0 || wait > time.Minute || len(m.waits) == 0 {
		t.Errorf("got %v with %d threads, want 0 to 1 minute and at least one thread", wait, len(m.waits))
	}
}

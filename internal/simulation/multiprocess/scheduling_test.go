package multiprocess

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// Guards against a run whose result does not tell that the machine kept the driver or a router from running.
func TestDelaysAreInTheHistory(t *testing.T) {
	log := history.New()
	m := &schedulingMonitor{log: log, delays: SchedulingDelays{}, waits: map[string]time.Duration{}}
	m.note("r1", notableDelay/2)
	m.note("driver", 2*time.Second)
	m.note("driver", notableDelay)
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

// The system tells how long threads waited.
func TestWaitsAreRead(t *testing.T) {
	if _, ok := threadWait(fmt.Sprintf("/proc/%d/task/%d", os.Getpid(), os.Getpid())); !ok {
		t.Error("the system keeps no figures of its scheduler")
	}
	m := &schedulingMonitor{waits: map[string]time.Duration{}}
	m.longestWait(os.Getpid())
	if wait := m.longestWait(os.Getpid()); wait < 0 || wait > time.Minute || len(m.waits) == 0 {
		t.Errorf("%v of %d threads", wait, len(m.waits))
	}
}

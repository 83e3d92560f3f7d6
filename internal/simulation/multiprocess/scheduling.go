package multiprocess

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

const (
	schedulingInterval = 100 * time.Millisecond // between two measurements
	notableDelay       = 50 * time.Millisecond  // per process and interval; shorter ones are not in the history
	driverName         = "driver"               // the process that simulates clients, proxies, endpoints and discovery
)

// SchedulingDelays holds the longest time for which each process waited for a processor in a run: the routers by their
// names, and the driver. A run with long delays shows little about the routers, because the driver was late as well.
type SchedulingDelays map[string]time.Duration

// String lists the delays by name.
func (d SchedulingDelays) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(d)) {
		parts = append(parts, fmt.Sprintf("%s %v", name, d[name].Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// update records a delay if it is the longest of the process.
func (d SchedulingDelays) update(process string, delay time.Duration) {
	d[process] = max(d[process], delay)
}

// schedulingMonitor measures delays until it is stopped. Its goroutine is the only one that uses it.
type schedulingMonitor struct {
	log     *history.Log
	routers []*process
	delays  SchedulingDelays
	waits   map[string]time.Duration // total of each thread since its start, by its folder in /proc
}

// watchScheduling measures scheduling delays until stop is closed, and then sends the longest delays.
func watchScheduling(log *history.Log, routers []*process, stop <-chan struct{}) <-chan SchedulingDelays {
	result := make(chan SchedulingDelays, 1)
	m := &schedulingMonitor{log: log, routers: routers, delays: SchedulingDelays{}, waits: map[string]time.Duration{}}
	go func() {
		m.run(stop)
		result <- m.delays
	}()
	return result
}

func (m *schedulingMonitor) run(stop <-chan struct{}) {
	for {
		due := time.Now().Add(schedulingInterval)
		select {
		case <-stop:
			return
		case <-time.After(schedulingInterval):
		}
		m.record(driverName, time.Since(due))
		for _, router := range m.routers {
			if pid, ok := router.pid(); ok {
				m.record(router.Name, m.longestWait(pid))
			}
		}
	}
}

// record records a delay, and adds it to the history if it is notable.
func (m *schedulingMonitor) record(process string, delay time.Duration) {
	m.delays.update(process, delay)
	if delay >= notableDelay {
		m.log.Add(history.SchedulingDelay{Process: process, Delay: delay})
	}
}

// longestWait returns the longest time for which any thread of a process has waited for a processor since the last
// call. It is 0 if the system doesn't provide the figures.
func (m *schedulingMonitor) longestWait(pid int) time.Duration {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return 0
	}
	longest := time.Duration(0)
	for _, thread := range threads {
		waited, ok := threadWait(thread)
		if !ok {
			continue
		}
		if before, known := m.waits[thread]; known {
			longest = max(longest, waited-before)
		}
		m.waits[thread] = waited
	}
	return longest
}

// threadWait reads how long a thread has waited for a processor since its start: the second figure of schedstat, in
// nanoseconds.
func threadWait(folder string) (waited time.Duration, ok bool) {
	text, err := os.ReadFile(filepath.Join(folder, "schedstat"))
	if err != nil {
		return 0, false
	}
	var ran int64
	_, err = fmt.Sscan(string(text), &ran, &waited)
	return waited, err == nil
}

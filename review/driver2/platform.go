package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryLimit is the router's limit in MiB, as in its configuration, in the cases about memory.
const memoryLimit = 32

// enforceMemory is the platform: it kills the router once it holds more memory than its limit. The returned function
// ends that, and returns the most memory that was seen and whether the router was killed.
func (r *router) enforceMemory() (end func() (peak int, killed bool)) {
	quit := make(chan struct{})
	done := make(chan struct{})
	peak, killed := r.anonymousMiB(), false
	r.w.logf("platform: the router holds %d MiB, its limit is %d MiB", peak, memoryLimit)
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(5 * time.Millisecond):
			}
			peak = max(peak, r.anonymousMiB())
			if peak > memoryLimit {
				killed = true
				r.w.logf("platform: the router holds %d MiB: killed", peak)
				r.kill()
				return
			}
		}
	}()
	return func() (int, bool) {
		close(quit)
		<-done
		return peak, killed
	}
}

// judgeMemory ends the watch of enforceMemory and returns the error of a router that was killed.
func (w *world) judgeMemory(end func() (peak int, killed bool), served bool) error {
	peak, killed := end()
	w.logf("platform: at most %d MiB were held, killed=%v, served afterwards=%v", peak, killed, served)
	if killed {
		return brokenf("the router held %d MiB, more than its limit of %d MiB, and was killed", peak, memoryLimit)
	}
	return nil
}

// anonymousMiB returns how much memory the router's process holds for itself, without its program file and without what
// the system keeps for its sockets. It is 0 if the process has ended.
func (r *router) anonymousMiB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kib / 1024
		}
	}
	return 0
}

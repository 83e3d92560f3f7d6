package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

const (
	badCommands = 100     // of one bad client
	badNameSize = 500_000 // bytes of a statement's name: 50 MB in all
	memoryLimit = 32      // MiB, as in the configuration
)

// namesExhaustMemory: a bad client of the extended front prepares some hundreds of statements with long names.
func namesExhaustMemory(w *world) error {
	_, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	extended, err := freeAddress()
	if err != nil {
		return err
	}
	r, err := w.newRouter("n1", list.addr, "[extended]\nlisten = \""+extended+"\"\n")
	if err != nil {
		return err
	}
	r.memoryMB = memoryLimit
	if err := r.start(); err != nil {
		return err
	}
	if !w.servesReads(r, "before", 10) {
		return errNotServed
	}
	w.logf("platform: the router holds %d MiB, its limit is %d MiB", r.residentMiB(), memoryLimit)
	watch := r.enforceMemory()
	if err := w.prepareStatements(extended); err != nil {
		w.logf("bad client: %v", err)
	}
	time.Sleep(2 * time.Second)
	served := w.servesReads(r, "after", 10)
	peak, killed := watch()
	w.logf("platform: at most %d MiB were held, killed=%v, served afterwards=%v", peak, killed, served)
	if killed {
		return brokenf("the router held %d MiB, more than its limit of %d MiB, and was killed", peak, memoryLimit)
	}
	return nil
}

// prepareStatements is the bad client: it sends Parse messages, each followed by Sync, and reads what it is sent.
func (w *world) prepareStatements(address string) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer c.close()
	size := badNameSize
	if !w.trouble {
		size = 16
	}
	w.logf("bad client: sends %d Parse messages with names of %d bytes", badCommands, size)
	answers := map[string]int{}
	for i := range badCommands {
		name := fmt.Sprintf("%016d", i) + strings.Repeat("n", size-16)
		message := pgwire.AppendParse(nil, pgwire.ParseMessage{
			Name: name, Query: statement(fmt.Sprintf("bad-%d", i), "audit-report", time.Second),
		})
		if err := c.send(pgwire.Append(message, 'S')); err != nil {
			return fmt.Errorf("after %d messages: %w", i, err)
		}
		got := c.until('Z', 5*time.Second)
		if got.end != nil {
			return fmt.Errorf("after %d messages: %s", i, got)
		}
		answers[got.types+" "+got.code]++
	}
	w.logf("bad client: all sent, answers %v; it stays connected for 2 s", answers)
	time.Sleep(2 * time.Second)
	return nil
}

// enforceMemory is the platform: it kills the router once it holds more memory than its limit. The returned function
// ends that, and returns the most memory that was seen and whether the router was killed.
func (r *router) enforceMemory() (end func() (peak int, killed bool)) {
	quit := make(chan struct{})
	done := make(chan struct{})
	peak, killed := 0, false
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
			peak = max(peak, r.residentMiB())
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

// residentMiB returns how much memory the router's process holds, 0 if it has ended.
func (r *router) residentMiB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kib / 1024
		}
	}
	return 0
}

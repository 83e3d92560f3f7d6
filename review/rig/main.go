// Command rig plays the cases of the review. It starts the router as the deploy file says and meets it with stand-ins
// of its own for db machines, discovery and clients, all on loopback addresses and the real clock.
//
// Usage: rig CASE RECORD, from the root of the repository. TROUBLE=0 plays the same without the disruption. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun ends a run that hangs. A case may take 120 s.
const longestRun = 110 * time.Second

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// play runs one case and returns the breaks of its rule that were seen.
type play func(r *rig) (breaks []string, err error)

var cases = map[string]play{
	"memory": playMemory,
	"stale":  playStale,
	"stall":  playStall,

	// Further breaks that the report tells of.
	"audit":    playAudit,
	"behind":   playBehind,
	"copy":     playCopy,
	"drain":    playDrain,
	"gone":     playGone,
	"handover": playHandover,
	"store":    playStore,
	"stream":   playStream,
	"upgrade":  playUpgrade,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	r, err := newRig(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	hung := time.AfterFunc(longestRun, func() {
		r.record.note("the run took too long")
		r.close()
		os.Exit(couldNot)
	})
	defer hung.Stop()
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		r.close()
		os.Exit(couldNot)
	}()
	breaks, err := cases[name](r)
	if err != nil {
		r.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNot
	}
	for _, b := range breaks {
		r.record.note("BROKEN %s", b)
	}
	fmt.Printf("%s: trouble=%v, %d breaks\n", name, r.trouble, len(breaks))
	for _, b := range breaks[:min(len(breaks), 5)] {
		fmt.Println("  " + b)
	}
	if len(breaks) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

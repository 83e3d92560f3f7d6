// Command driver2 plays the cases of the second review against the project's own programs. It starts the router with
// the run command of the deploy file, takes the place of clients, database machines and discovery on loopback, and
// exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun ends a case that hangs. A run may take 120 s.
const longestRun = 110 * time.Second

// errBroken is wrapped by the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by their numbers, and further plays by their names.
var cases = map[string]func(*world) error{
	"6":         halvesExhaustMemory,
	"7":         answersBehind,
	"8":         namesExhaustMemory,
	"9":         extendedShutdown,
	"10":        storedListUndoesDrain,
	"majority":  restartWithoutMajority,
	"successor": successorNeverFound,
	"spool":     spoolLosesRecords,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(filepath.Join(arguments[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver2:", err)
		return exitNotRun
	}
	result := make(chan error, 1)
	go func() { result <- cases[arguments[0]](w) }()
	select {
	case err = <-result:
	case <-time.After(longestRun):
		err = errors.New("the case did not end in time")
	}
	return w.finish(err)
}

// brokenf returns the error of a broken rule.
func brokenf(format string, values ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, values...))
}

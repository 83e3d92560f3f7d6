package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is one run of a case: its record, its temporary folder and the processes that it started.
type world struct {
	trouble   bool // false: the same without the disruption
	dir       string
	startedAt time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*router
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, startedAt: time.Now(), record: record}
	w.logf("run: trouble=%v", trouble)
	return w, nil
}

// logf writes a line to the record, with the time since the start of the run.
func (w *world) logf(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// since returns a point in time as the record shows it.
func (w *world) since(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(w.startedAt).Seconds()) }

// finish ends all processes, writes the verdict and returns the exit code.
func (w *world) finish(err error) int {
	for _, process := range w.processes {
		process.kill()
	}
	code := exitNotRun
	switch {
	case err == nil:
		code = exitHeld
		w.logf("verdict: the rule held")
	case errors.Is(err, errBroken):
		code = exitBroken
		w.logf("verdict: %v", err)
	default:
		w.logf("verdict: the case could not run: %v", err)
	}
	if err != nil {
		fmt.Println(err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
	_ = w.record.Close()
	return code
}

// path returns the name of a file in the temporary folder.
func (w *world) path(name string) string { return filepath.Join(w.dir, name) }

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// waitFor waits until a condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

var errOutput = errors.New("output failed")

// fakeOutput is an io.Writer that hangs or fails on demand.
type fakeOutput struct {
	gate chan struct{} // each write first receives from gate; nil = writes do not wait

	mutex              sync.Mutex
	text               bytes.Buffer
	failing            bool
	bytesBeforeFailure int // bytes that a failing write accepts
}

func (f *fakeOutput) Write(line []byte) (int, error) {
	if f.gate != nil {
		<-f.gate
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failing {
		accepted := min(f.bytesBeforeFailure, len(line))
		f.text.Write(line[:accepted])
		return accepted, errOutput
	}
	return f.text.Write(line)
}

func (f *fakeOutput) setFailing(failing bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failing = failing
}

func (f *fakeOutput) String() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.text.String()
}

func requireClosed(t *testing.T, o *Output) {
	t.Helper()
	if !o.Close(testTimeout) {
		t.Fatal("Close timed out before all lines were written")
	}
}

// waitUntilIdle waits until every queued line is written or lost.
func waitUntilIdle(t *testing.T, o *Output) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		o.queue.mutex.Lock()
		idle := o.queue.bytes == 0
		o.queue.mutex.Unlock()
		if idle {
			return
		}
		if time.Now().After(end) {
			t.Fatal("lines are still queued after the timeout")
		}
	}
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var output fakeOutput
	o := New(&output, Options{QueueBytes: 1 << 20})
	log := slog.New(o.Handler()).With("router", "n1").WithGroup("g")
	log.Debug("not logged")
	for i := range 100 {
		level := slog.LevelInfo
		if i%3 == 0 {
			level = slog.LevelError
		}
		log.Log(t.Context(), level, "line", "number", i)
	}
	o.Print("the end")
	requireClosed(t, o)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 101 || lines[100] != "the end" {
		t.Fatalf("got %d lines, want 101 that end with \"the end\": %v", len(lines), lines)
	}
	for i, line := range lines[:100] {
		if want := fmt.Sprintf("msg=line router=n1 g.number=%d", i); !strings.HasSuffix(line, want) {
			t.Fatalf("line %d does not have the expected message and attributes: %q", i, line)
		}
	}
}

// Guards against an unbounded number of queued lines while the output hangs, and against warnings that are lost because
// debug lines fill the queue.
func TestFullQueueKeepsRoomForWarnings(t *testing.T) {
	const queueBytes = 16 << 10
	output := &fakeOutput{gate: make(chan struct{})}
	o := New(output, Options{Level: slog.LevelDebug, QueueBytes: queueBytes})
	log := slog.New(o.Handler())
	const debugLines = 1000
	for i := range debugLines {
		log.Debug("debug line", "number", i)
	}
	for i := range 10 {
		log.Warn("warning", "number", i)
	}
	o.queue.mutex.Lock()
	waiting := o.queue.bytes
	lost := o.queue.lost.queueFull
	o.queue.mutex.Unlock()
	if waiting > queueBytes {
		t.Errorf("%d bytes are queued, want at most %d", waiting, queueBytes)
	}
	close(output.gate)
	requireClosed(t, o)
	text := output.String()
	written := strings.Count(text, "debug line")
	if lost == 0 || written+int(lost) != debugLines {
		t.Errorf("%d debug lines written and %d counted as lost, want some lost and a sum of %d", written, lost, debugLines)
	}
	if got := strings.Count(text, "msg=warning"); got != 10 {
		t.Errorf("%d warnings written, want 10", got)
	}
	want := fmt.Sprintf("level=WARN msg=\"log lines lost\" queue_full=%d write_failed=0\n", lost)
	if strings.Count(text, want) != 1 || strings.Count(text, "log lines lost") != 1 {
		t.Errorf("want the losses logged exactly once as %q, got the output:\n%s", want, text)
	}
}

// Guards against losses that are never reported once the output accepts lines again.
func TestFailedWritesAreCounted(t *testing.T) {
	output := &fakeOutput{failing: true, bytesBeforeFailure: 3}
	o := New(output, Options{QueueBytes: 1 << 20})
	log := slog.New(o.Handler())
	for range 5 {
		log.Info("lost")
		waitUntilIdle(t, o)
	}
	output.setFailing(false)
	log.Info("written")
	waitUntilIdle(t, o)
	requireClosed(t, o)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) < 2 {
		t.Fatalf("got the lines %q, want at least 2", lines)
	}
	last := lines[len(lines)-2:]
	if !strings.HasSuffix(last[0], "queue_full=0 write_failed=5") || !strings.HasSuffix(last[1], "msg=written") {
		t.Errorf("got the last lines %q, want the report of 5 failed writes and then the written line", last)
	}
}

// Guards against a program that does not exit because its log output hangs.
func TestCloseWaitsForABoundedTime(t *testing.T) {
	output := &fakeOutput{gate: make(chan struct{})}
	defer close(output.gate)
	o := New(output, Options{QueueBytes: 1 << 20})
	slog.New(o.Handler()).Info("hangs")
	if o.Close(20 * time.Millisecond) {
		t.Error("Close reported that all lines were written, want a timeout")
	}
	slog.New(o.Handler()).Info("after the end") // must not panic or block
}

package asynclog

import (
	"bytes"
	"io"
	"log/slog"
	"time"
)

// Options says what is logged and how much may wait.
type Options struct {
	Level      slog.Leveler // the least level that is logged; nil is slog.LevelInfo
	QueueBytes int          // of the lines that may wait to be written
}

// Output writes lines to an io.Writer on a goroutine of its own. Its methods may be called from any goroutine, and only
// Close waits.
type Output struct {
	queue    *lineQueue
	options  slog.HandlerOptions
	finished chan struct{} // closed once nothing is written any more

	// What follows belongs to the writing goroutine.
	writer   io.Writer
	midLine  bool         // the last write ended within a line
	lossText bytes.Buffer // what lossLog has formatted
	lossLog  *slog.Logger
}

// New returns an Output that writes to writer, which may block.
func New(writer io.Writer, options Options) *Output {
	o := &Output{
		queue:    newLineQueue(options.QueueBytes),
		options:  slog.HandlerOptions{Level: options.Level},
		finished: make(chan struct{}),
		writer:   writer,
	}
	o.lossLog = slog.New(slog.NewTextHandler(&o.lossText, nil))
	go o.run()
	return o
}

// Print queues a line of plain text that says why the program ends.
func (o *Output) Print(text string) { o.queue.put([]byte(text+"\n"), important) }

// Close waits until all queued lines are written, or for the timeout, and says whether they are. Lines that are logged
// after Close may be lost.
func (o *Output) Close(timeout time.Duration) (written bool) {
	o.queue.close()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-o.finished:
		return true
	case <-timer.C:
		return false
	}
}

// run writes the queued lines in order until the queue is closed and empty.
func (o *Output) run() {
	defer close(o.finished)
	for {
		line, ok := o.queue.take()
		if !ok {
			o.writeLosses()
			return
		}
		if !o.writeLosses() || !o.write(line) {
			o.queue.addLosses(losses{writeFailed: 1})
		}
		o.queue.release(line)
	}
}

// writeLosses logs how many lines were lost, if any were. It returns false where the output does not take that line.
func (o *Output) writeLosses() (ok bool) {
	lost := o.queue.takeLosses()
	if !lost.any() {
		return true
	}
	o.lossText.Reset()
	o.lossLog.Warn("log lines lost", "queue_full", lost.queueFull, "write_failed", lost.writeFailed)
	if o.write(o.lossText.Bytes()) {
		return true
	}
	o.queue.addLosses(lost)
	return false
}

// write writes a line, on a new line where a failed write has left part of another one.
func (o *Output) write(line []byte) (ok bool) {
	if o.midLine {
		if _, err := o.writer.Write([]byte("\n")); err != nil {
			return false
		}
		o.midLine = false
	}
	written, err := o.writer.Write(line)
	o.midLine = err != nil && written > 0
	return err == nil
}

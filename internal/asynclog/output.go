package asynclog

import (
	"bytes"
	"io"
	"log/slog"
	"time"
)

// Options are the options of an Output.
type Options struct {
	Level      slog.Leveler // minimum level that is logged; nil = slog.LevelInfo
	QueueBytes int          // maximum size of the queued lines
}

// Output writes lines to an io.Writer on a separate goroutine. Its methods may be called from any goroutine. Only Close
// blocks.
type Output struct {
	queue    *lineQueue
	options  slog.HandlerOptions
	finished chan struct{} // closed when the writing goroutine has ended

	// The following fields are used by the writing goroutine only.
	writer   io.Writer
	midLine  bool         // the last write failed after part of a line
	lossText bytes.Buffer // output of lossLog
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

// Print queues an unformatted line as important. It is meant for the reason why the program exits.
func (o *Output) Print(text string) { o.queue.put([]byte(text+"\n"), important) }

// Close waits until all queued lines have been processed, or until the timeout, and reports whether they have been.
// Lines that are logged after Close may be lost.
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

// writeLosses logs the number of lost lines, if there are any. It returns false if the output fails to write that line.
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

// write writes a line. If the previous write left an incomplete line, it ends that line first.
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

package asynclog

import (
	"context"
	"log/slog"
)

// Handler returns a slog.Handler whose records are written as text lines.
func (o *Output) Handler() slog.Handler {
	return &handler{
		routine:   slog.NewTextHandler(lineWriter{queue: o.queue, importance: routine}, &o.options),
		important: slog.NewTextHandler(lineWriter{queue: o.queue, importance: important}, &o.options),
	}
}

// lineWriter puts the lines that a slog.TextHandler writes, one per call, into the queue.
type lineWriter struct {
	queue      *lineQueue
	importance importance
}

// Write implements io.Writer. It never fails; the queue counts lost lines.
func (w lineWriter) Write(line []byte) (int, error) {
	w.queue.put(line, w.importance)
	return len(line), nil
}

// handler passes each record to one of two handlers, by the importance of its level. Both have the same attributes and
// groups.
type handler struct {
	routine   slog.Handler
	important slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.routine.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.important.Handle(ctx, record)
	}
	return h.routine.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{routine: h.routine.WithAttrs(attrs), important: h.important.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{routine: h.routine.WithGroup(name), important: h.important.WithGroup(name)}
}

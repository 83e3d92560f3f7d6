package history

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// TimelineEntry is one line of a timeline: a recorded fact, a broken rule, or a line of a process's own log.
type TimelineEntry struct {
	Time   time.Duration // since the start of the Log
	Origin string        // name of the router and its incarnation, "rig" for a fact, "RULE" for a violation
	Text   string
}

// WriteTimeline sorts entries by time, in place, and writes one line for each. Entries of the same time keep their
// order.
func WriteTimeline(w io.Writer, entries []TimelineEntry) error {
	slices.SortStableFunc(entries, func(a, b TimelineEntry) int { return cmp.Compare(a.Time, b.Time) })
	for _, entry := range entries {
		if _, err := fmt.Fprintf(w, "%10.4f  %-10s %s\n", entry.Time.Seconds(), entry.Origin, entry.Text); err != nil {
			return err
		}
	}
	return nil
}

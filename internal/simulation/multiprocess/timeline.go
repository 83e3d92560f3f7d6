package multiprocess

import (
	"bufio"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"limeladder/internal/simulation/multiprocess/history"
)

// writeTimeline writes one timeline of the history, the violations and the logs of all processes. Log lines without a
// time are left out.
func (r *Driver) writeTimeline(res *Result) error {
	var lines []history.TimelineEntry
	for _, e := range res.History {
		lines = append(lines, history.TimelineEntry{Time: e.Time, Origin: "rig", Text: e.Fact.String()})
	}
	if len(res.History) > 0 {
		end := res.History[len(res.History)-1].Time
		text := "longest waits for a processor: " + res.Delays.String()
		lines = append(lines, history.TimelineEntry{Time: end, Origin: "rig", Text: text})
	}
	for _, b := range res.Broken {
		lines = append(lines, history.TimelineEntry{Time: b.Time, Origin: "RULE", Text: b.String()})
	}
	logs, err := filepath.Glob(filepath.Join(r.options.Dir, "r*", "log.*"))
	if err != nil {
		return err
	}
	slices.Sort(logs)
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		from := filepath.Base(filepath.Dir(name)) + "." + strings.TrimPrefix(filepath.Base(name), "log.")
		for s := bufio.NewScanner(f); s.Scan(); {
			if at, ok := logTime(s.Text()); ok {
				lines = append(lines, history.TimelineEntry{
					Time: at.Sub(r.log.Started()), Origin: from,
					Text: s.Text(),
				})
			}
		}
		_ = f.Close() // it was only read
	}
	res.Timeline = filepath.Join(r.options.Dir, "timeline.txt")
	f, err := os.Create(res.Timeline)
	if err != nil {
		return err
	}
	err = history.WriteTimeline(f, lines)
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// logTime returns the time of a line of a router's log. It reports false if the line has none.
func logTime(line string) (time.Time, bool) {
	_, rest, ok := strings.Cut(line, "time=")
	if !ok {
		return time.Time{}, false
	}
	word, _, _ := strings.Cut(rest, " ")
	at, err := time.Parse(time.RFC3339Nano, strings.Trim(word, `"`))
	return at, err == nil
}

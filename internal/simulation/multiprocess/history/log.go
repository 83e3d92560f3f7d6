package history

import (
	"slices"
	"sync"
	"time"
)

// Entry is a fact and the time at which it was recorded, counted from the start of its Log.
type Entry struct {
	Time time.Duration
	Fact Fact
}

// Log collects the facts of one test run on one clock. Its methods may be called from any goroutine.
type Log struct {
	started time.Time

	mutex   sync.Mutex // guards entries
	entries []Entry
}

// New returns an empty Log whose clock starts now.
func New() *Log { return &Log{started: time.Now()} }

// Started returns the time at which the log's clock started.
func (log *Log) Started() time.Time { return log.started }

// Add records a fact with the current time.
func (log *Log) Add(fact Fact) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.entries = append(log.entries, Entry{time.Since(log.started), fact})
}

// Entries returns a copy of the entries so far, in the order of their times.
func (log *Log) Entries() []Entry {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return slices.Clone(log.entries)
}

package main

import (
	"errors"
	"io/fs"
	"log/slog"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/limits"
	"limeladder/internal/membership"
)

// pausePerSave is the pause after a save, as a multiple of the time that the save took: saving takes a tenth of the
// time at most, however often the list changes. The pause is short for a short list, because a process that is killed
// forgets the changes that wait.
const pausePerSave = 9

// endpointListSaver saves the newest endpoint list in the store's folder, on a goroutine of its own. Unlike the store
// it needs no majority, so the list is there after a restart in any case.
type endpointListSaver struct {
	file *membership.File
	log  *slog.Logger
	next chan membership.Snapshot // holds at most the newest list that was not saved yet
	quit chan struct{}
	done chan struct{}
}

// maxSavedListBytes returns the length in bytes above which a saved list is not read. A complete list from discovery
// may grow by changes, and is not saved in the same layout.
func maxSavedListBytes(lim limits.Limits) int { return 2 * lim.Discovery.ListBytes }

// newEndpointListSaver starts the saver, or returns nil if the store is off.
func newEndpointListSaver(settings config.Store, maxListBytes int, log *slog.Logger) *endpointListSaver {
	if settings.Name == "" {
		return nil
	}
	s := &endpointListSaver{
		file: membership.NewFile(settings.Folder, int64(maxListBytes)),
		log:  log,
		next: make(chan membership.Snapshot, 1),
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// load returns the list that was saved last. Without one, or if it can't be read, it returns an empty list.
func (s *endpointListSaver) load() membership.Snapshot {
	if s == nil {
		return membership.Snapshot{}
	}
	list, err := s.file.Load()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.log.Warn("saved endpoint list not read", "error", err)
	}
	return list
}

// save saves a list soon, in place of one that still waits. It never blocks. Only one goroutine may call it.
func (s *endpointListSaver) save(list membership.Snapshot) {
	if s == nil || len(list.Endpoints) == 0 {
		return
	}
	select {
	case <-s.next: // replaced by a newer list
	default:
	}
	s.next <- list
}

func (s *endpointListSaver) run() {
	defer close(s.done)
	failed := false
	for {
		select {
		case list := <-s.next:
			startedAt := time.Now()
			failed = s.write(list, failed)
			s.pause(pausePerSave * time.Since(startedAt))
		case <-s.quit:
			s.writeLast(failed)
			return
		}
	}
}

// pause waits for the given time, or until the saver is closed.
func (s *endpointListSaver) pause(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-s.quit:
	}
}

// writeLast writes the list that still waits at the end, if there is one.
func (s *endpointListSaver) writeLast(failed bool) {
	select {
	case list := <-s.next:
		s.write(list, failed)
	default:
	}
}

// write saves a list and reports whether that failed. A failure is logged unless the write before had failed too.
func (s *endpointListSaver) write(list membership.Snapshot, failedBefore bool) (failed bool) {
	err := s.file.Save(list)
	if err != nil && !failedBefore {
		s.log.Warn("endpoint list not saved", "error", err)
	}
	return err != nil
}

// close saves the newest list and stops the saver.
func (s *endpointListSaver) close() {
	if s == nil {
		return
	}
	close(s.quit)
	<-s.done
}

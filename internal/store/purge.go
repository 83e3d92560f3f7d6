package store

import "time"

// purgeInterval is the pause between two looks at whether the disk still holds what has to be purged.
const purgeInterval = time.Second

// purge compacts this member's disk until neither the log nor a snapshot holds a value that has to be purged. A value
// that is still a record, here or of another member that has not replaced it yet, is waited for.
func (s *Store) purge() {
	defer s.done.Done()
	for reported := false; ; {
		held, err := s.Holds(s.cfg.Purge)
		if err == nil && !held {
			return
		}
		if err == nil && s.Ready() {
			err = s.purgeOnce(&reported)
		}
		if err != nil && !reported {
			s.log.Warn("store not compacted", "error", err)
			reported = true
		}
		select {
		case <-s.quit:
			return
		case <-time.After(purgeInterval):
		}
	}
}

// purgeOnce compacts the disk unless a record still has a value that has to be purged. That is logged once.
func (s *Store) purgeOnce(reported *bool) error {
	if key, found := s.recordToPurge(); found {
		if !*reported {
			s.log.Warn("store not compacted: a record has to be replaced first", "key", key)
			*reported = true
		}
		return nil
	}
	if err := s.Compact(); err != nil {
		return err
	}
	s.log.Info("store compacted: values that had to be purged are gone")
	return nil
}

// recordToPurge returns the key of a record with a value that has to be purged, now or in its history.
func (s *Store) recordToPurge() (key string, found bool) {
	records, _ := s.Range("")
	for _, record := range records {
		if s.cfg.Purge(record.Key, record.Value) {
			return record.Key, true
		}
		for _, entry := range s.History(record.Key) {
			if s.cfg.Purge(record.Key, entry.Value) {
				return record.Key, true
			}
		}
	}
	return "", false
}

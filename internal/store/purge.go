package store

import "time"

// purgeInterval is the pause between two checks whether the disk still contains values to purge.
const purgeInterval = time.Second

// purge compacts this member's disk until neither the log nor a snapshot contains a value to purge. It waits while a
// record still has such a value, for example because the member that wrote the record has not replaced it yet.
func (s *Store) purge() {
	defer s.done.Done()
	for reported := false; ; {
		found, err := s.DiskContains(s.cfg.Purge)
		if err == nil && !found {
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

// purgeOnce compacts the disk, unless a record or its history still contains a value to purge. It logs the latter once.
func (s *Store) purgeOnce(reported *bool) error {
	if key, found := s.recordToPurge(); found {
		if !*reported {
			s.log.Warn("store not compacted: a record or its history still contains a value to purge", "key", key)
			*reported = true
		}
		return nil
	}
	if err := s.Compact(); err != nil {
		return err
	}
	s.log.Info("store compacted to purge values")
	return nil
}

// recordToPurge returns the key of a record that contains a value to purge, as its current value or in its history.
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

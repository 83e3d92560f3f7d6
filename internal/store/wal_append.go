package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"
)

// defaultCompactionThreshold is the size in bytes above which a deletion of entries compacts the log file.
const defaultCompactionThreshold = 1 << 20

// errRecordTooLong is returned for an entry that does not fit into a record of maxRecordBytes.
var errRecordTooLong = errors.New("record too long")

// FailedError reports a failed operation after which the content of the log on the disk is unknown: it may lack data
// that was written, or contain part of a record that was not acknowledged. Nothing more is written until the next
// start, which reads the log from the disk.
type FailedError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%s: log failed and accepts no more writes: %v", e.File, e.Err)
}

// Unwrap returns the error of the failed operation.
func (e *FailedError) Unwrap() error { return e.Err }

// add writes a record, syncs it to the disk, and then applies it to the copy in memory.
func (w *wal) add(record walRecord) error {
	encoded, err := record.encode()
	if err != nil {
		return err
	}
	return w.addEncoded(encoded, record)
}

// addEntries is like add for entries. It splits them into several records if one would exceed maxRecordBytes.
func (w *wal) addEntries(entries []*raft.Log) error {
	encoded, records, err := encodeEntries(entries)
	if err != nil {
		return err
	}
	return w.addEncoded(encoded, records...)
}

// encodeEntries returns the entries as records, encoded and not, with bodies of at most maxRecordBytes.
func encodeEntries(entries []*raft.Log) (encoded []byte, records []walRecord, err error) {
	record := walRecord{Entries: entries}
	encoded, err = record.encode()
	if err != nil {
		return nil, nil, err
	}
	if len(encoded)-recordHeaderBytes <= maxRecordBytes {
		return encoded, []walRecord{record}, nil
	}
	if len(entries) == 1 {
		return nil, nil, errRecordTooLong
	}
	middle := len(entries) / 2
	first, firstRecords, err := encodeEntries(entries[:middle])
	if err != nil {
		return nil, nil, err
	}
	second, secondRecords, err := encodeEntries(entries[middle:])
	if err != nil {
		return nil, nil, err
	}
	return append(first, second...), append(firstRecords, secondRecords...), nil
}

// addEncoded writes and syncs encoded records, applies them, and compacts the log if a deletion leaves it too long.
func (w *wal) addEncoded(encoded []byte, records ...walRecord) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure != nil {
		return w.failure
	}
	if err := w.appendSynced(encoded); err != nil {
		return err
	}
	w.size += int64(len(encoded))
	deletesEntries := false
	for _, record := range records {
		w.apply(record)
		deletesEntries = deletesEntries || record.deletesEntries()
	}
	if deletesEntries && w.size > w.compactionThreshold {
		return w.compact()
	}
	return nil
}

// appendSynced appends to the file and syncs it.
func (w *wal) appendSynced(encoded []byte) error {
	if _, err := w.file.Write(encoded); err != nil {
		if truncateErr := w.discardPartialRecord(); truncateErr != nil {
			return w.fail(errors.Join(err, truncateErr))
		}
		return err
	}
	// A failed sync must not be retried: the operating system may have dropped the data that it could not write, and the
	// next sync would succeed without that data.
	if err := w.file.Sync(); err != nil {
		return w.fail(err)
	}
	return nil
}

// discardPartialRecord removes the part of a record that a failed write has left at the end of the file. A record
// written after a partial one would be lost at the next start.
func (w *wal) discardPartialRecord() error {
	if err := w.file.Truncate(w.size); err != nil {
		return err
	}
	_, err := w.file.Seek(w.size, io.SeekStart)
	return err
}

// fail makes every later write fail, and returns the error that those writes return.
func (w *wal) fail(err error) error {
	w.failure = &FailedError{File: w.path, Err: err}
	close(w.failed)
	return w.failure
}

// writeFailure returns the error that made the log fail, or nil while it works.
func (w *wal) writeFailure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

// compact writes the copy in memory to a new file, which replaces the old one.
func (w *wal) compact() error {
	content, err := w.encodeAll()
	if err != nil {
		return err
	}
	newPath := w.path + ".new"
	file, err := w.writeNewFile(newPath, content)
	if err != nil {
		return err // the old file stays in use
	}
	// After a failure from here on, it is unknown which of the two files the next start finds.
	if err := w.files.Rename(newPath, w.path); err != nil {
		_ = file.Close() // the old file stays open until close
		return w.fail(err)
	}
	_ = w.file.Close() // all its data is synced, and the rename has unlinked it
	w.file = file
	w.size = int64(len(content))
	if err := w.files.SyncFolder(filepath.Dir(w.path)); err != nil {
		return w.fail(err)
	}
	return nil
}

// encodeAll encodes the copy in memory as records.
func (w *wal) encodeAll() ([]byte, error) {
	var content []byte
	appendRecord := func(record walRecord) error {
		encoded, err := record.encode()
		content = append(content, encoded...)
		return err
	}
	for key, value := range w.stable {
		if err := appendRecord(walRecord{Key: key, Value: value}); err != nil {
			return nil, err
		}
	}
	for index := w.firstIndex; index > 0 && index <= w.lastIndex; index++ {
		if err := appendRecord(walRecord{Entries: []*raft.Log{w.entries[index]}}); err != nil {
			return nil, err
		}
	}
	return content, nil
}

// writeNewFile creates a file, writes content to it and syncs it. The returned file is positioned at its end.
func (w *wal) writeNewFile(path string, content []byte) (logFile, error) {
	file, err := w.files.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close() // the file is not used
		return nil, err
	}
	return file, nil
}

package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"
)

// defaultCompactionThreshold is the size in bytes from which a deletion of entries rewrites a member's log.
const defaultCompactionThreshold = 1 << 20

// errRecordTooLong says that one entry would make a record that is longer than the file may hold.
var errRecordTooLong = errors.New("record too long")

// FailedError says that the system may not have kept what was written to the log, or that it may have kept part of
// what was not acknowledged. Nothing more is written until the next start, which reads what the disk has.
type FailedError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%s: not written any more: %v", e.File, e.Err)
}

// Unwrap returns what the system said.
func (e *FailedError) Unwrap() error { return e.Err }

// add writes a record through to the disk before it counts.
func (w *wal) add(record walRecord) error {
	encoded, err := record.encode()
	if err != nil {
		return err
	}
	return w.addEncoded(encoded, record)
}

// addEntries writes entries through to the disk before they count, in as many records as their size needs.
func (w *wal) addEntries(entries []*raft.Log) error {
	encoded, records, err := encodeEntries(entries)
	if err != nil {
		return err
	}
	return w.addEncoded(encoded, records...)
}

// encodeEntries returns records that hold the entries, each no longer than maxRecordBytes.
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

// addEncoded writes records that are already encoded.
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

// appendSynced appends to the file and waits for the disk.
func (w *wal) appendSynced(encoded []byte) error {
	if _, err := w.file.Write(encoded); err != nil {
		if cutErr := w.discardPartialRecord(); cutErr != nil {
			return w.fail(errors.Join(err, cutErr))
		}
		return err
	}
	// A sync that has failed can't be tried again: the system may have dropped what it could not write, and the next
	// sync would succeed without it.
	if err := w.file.Sync(); err != nil {
		return w.fail(err)
	}
	return nil
}

// discardPartialRecord cuts off what a failed write has left: a record behind half of another one would be lost with
// it.
func (w *wal) discardPartialRecord() error {
	if err := w.file.Truncate(w.size); err != nil {
		return err
	}
	_, err := w.file.Seek(w.size, io.SeekStart)
	return err
}

// fail makes every later write fail, and returns the error that says so.
func (w *wal) fail(err error) error {
	w.failure = &FailedError{File: w.path, Err: err}
	close(w.failed)
	return w.failure
}

// writeFailure returns why nothing is written any more, or nil.
func (w *wal) writeFailure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

// compact writes what still counts to a new file that takes the place of the old one.
func (w *wal) compact() error {
	content, err := w.encodeAll()
	if err != nil {
		return err
	}
	newPath := w.path + ".new"
	file, err := w.writeNewFile(newPath, content)
	if err != nil {
		return err // the old file stays
	}
	// From here on a failure leaves open which of both files the next start finds.
	if err := w.files.Rename(newPath, w.path); err != nil {
		_ = file.Close() // the old file is used until the end
		return w.fail(err)
	}
	_ = w.file.Close() // nothing more is written to it, and it has no name any more
	w.file = file
	w.size = int64(len(content))
	if err := w.files.SyncFolder(filepath.Dir(w.path)); err != nil {
		return w.fail(err)
	}
	return nil
}

// encodeAll returns records that amount to what is held in memory.
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

// writeNewFile writes content to a new file through to the disk, and returns it open behind the content.
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
		_ = file.Close() // the file is given up
		return nil, err
	}
	return file, nil
}

package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"path/filepath"
)

// load reads the file into memory. A last record that a crash has torn was never acknowledged: load truncates it and
// sets tornBytes. If any other record can't be read, load returns a *DamagedError and does not change the file.
func (w *wal) load() error {
	content, err := io.ReadAll(w.file)
	if err != nil {
		return err
	}
	for w.size < int64(len(content)) {
		rest := content[w.size:]
		length, complete := recordLength(rest)
		if !complete || !hasValidChecksum(rest[:length]) {
			if isTorn(rest) {
				break
			}
			return &DamagedError{File: w.path, Offset: w.size}
		}
		record, err := decodeRecord(rest[recordHeaderBytes:length])
		if err != nil {
			return &DamagedError{File: w.path, Offset: w.size, Err: err}
		}
		w.apply(record)
		w.size += int64(length)
	}
	w.tornBytes = int64(len(content)) - w.size
	return w.truncateTornRecord()
}

// truncateTornRecord truncates the file after its last complete record and positions it there. It also syncs the
// folder, so that the name of a new log survives a crash.
func (w *wal) truncateTornRecord() error {
	if w.tornBytes > 0 {
		if err := w.file.Truncate(w.size); err != nil {
			return err
		}
		if err := w.file.Sync(); err != nil {
			return err
		}
	}
	if err := w.files.SyncFolder(filepath.Dir(w.path)); err != nil {
		return err
	}
	_, err := w.file.Seek(w.size, io.SeekStart)
	return err
}

// isTorn reports whether the unreadable record at the start of rest can be the result of a crash during its write. A
// crash leaves the beginning of one record, in which the parts that did not reach the disk may be zeros. It never
// leaves a complete body, a valid record after the torn one, or bytes other than those written and zeros.
func isTorn(rest []byte) bool {
	if len(rest) <= recordHeaderBytes {
		return true
	}
	if hasCompleteBody(rest) || isFollowedByRecord(rest) {
		return false
	}
	length, complete := recordLength(rest)
	if !complete {
		return true
	}
	hasGap := bytes.IndexByte(rest[recordHeaderBytes:length], 0) >= 0 // JSON contains no zero bytes
	return length == len(rest) && hasGap
}

// hasCompleteBody reports whether the record is valid with a length other than the one in its header, which means that
// only the length is wrong.
func hasCompleteBody(rest []byte) bool {
	want := binary.BigEndian.Uint32(rest[recordLengthBytes:])
	checksum := uint32(0)
	for end := recordHeaderBytes; end < len(rest); end++ {
		checksum = crc32.Update(checksum, castagnoli, rest[end:end+1])
		if checksum == want && isRecordBody(rest[recordHeaderBytes:end+1]) {
			return true
		}
	}
	return false
}

// isFollowedByRecord reports whether a valid record begins anywhere after the first byte of rest.
func isFollowedByRecord(rest []byte) bool {
	for start := 1; start+recordHeaderBytes < len(rest); start++ {
		length, complete := recordLength(rest[start:])
		if !complete || length == recordHeaderBytes {
			continue
		}
		candidate := rest[start : start+length]
		if hasValidChecksum(candidate) && isRecordBody(candidate[recordHeaderBytes:]) {
			return true
		}
	}
	return false
}

// isRecordBody reports whether a body can be decoded as a record.
func isRecordBody(body []byte) bool {
	_, err := decodeRecord(body)
	return err == nil
}

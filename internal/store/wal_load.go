package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"path/filepath"
)

// load reads the file. A record that a crash has cut short was never acknowledged: it is cut off and reported. After
// any other record that can't be read the file is left as it is.
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
	return w.cutTornRecord()
}

// cutTornRecord leaves the file open behind its last complete record, and its name where a crash does not lose it.
func (w *wal) cutTornRecord() error {
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

// isTorn says whether a crash in the middle of a write explains why the record that rest begins with can't be read. A
// crash leaves the beginning of one record, in which parts may be zero that had not reached the disk. It leaves
// nothing valid behind that, no body that is complete, and no byte that was never written.
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
	hasGap := bytes.IndexByte(rest[recordHeaderBytes:length], 0) >= 0 // JSON has no zero bytes
	return length == len(rest) && hasGap
}

// hasCompleteBody says whether some length other than the one in the header makes the record valid: only the length
// is wrong then.
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

// isFollowedByRecord says whether a valid record begins somewhere behind the start of rest.
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

// isRecordBody says whether a body decodes as a record.
func isRecordBody(body []byte) bool {
	_, err := decodeRecord(body)
	return err == nil
}

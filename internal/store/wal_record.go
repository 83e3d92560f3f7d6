package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/hashicorp/raft"
)

// A record in the file consists of the length of its body as 4 bytes, the CRC-32C of the body as 4 bytes, and the body
// as JSON. Bodies longer than maxRecordBytes are not written, but are read, because earlier versions wrote them.
const (
	recordLengthBytes = 4
	recordHeaderBytes = 8
	maxRecordBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// walRecord is one change to the log. It contains either appended entries, or a stable value, or a range of entries to
// delete.
type walRecord struct {
	Entries []*raft.Log `json:"Logs,omitempty"`

	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`

	FirstDeleted uint64 `json:"Min,omitempty"`
	LastDeleted  uint64 `json:"Max,omitempty"` // inclusive
}

func (r walRecord) deletesEntries() bool { return r.LastDeleted > 0 }

// encode returns the record in the form that it has in the file.
func (r walRecord) encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	encoded := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint32(encoded, crc32.Checksum(body, castagnoli))
	return append(encoded, body...), nil
}

// decodeRecord decodes the body of a record.
func decodeRecord(body []byte) (record walRecord, err error) {
	err = json.Unmarshal(body, &record)
	return record, err
}

// recordLength returns the length in bytes of the first record of content, and whether content contains all of it.
func recordLength(content []byte) (length int, complete bool) {
	if len(content) < recordHeaderBytes {
		return 0, false
	}
	length = recordHeaderBytes + int(binary.BigEndian.Uint32(content))
	if len(content) < length {
		return 0, false
	}
	return length, true
}

// hasValidChecksum reports whether the body of a complete record matches its checksum.
func hasValidChecksum(record []byte) bool {
	want := binary.BigEndian.Uint32(record[recordLengthBytes:])
	return crc32.Checksum(record[recordHeaderBytes:], castagnoli) == want
}

// DamagedError reports a log record that differs from what was written. The entries after it were acknowledged to the
// other members, so the log is rejected instead of truncated.
type DamagedError struct {
	File   string
	Offset int64 // of the record, in bytes
	Err    error // of decoding the record; nil if its length or checksum is wrong
}

// Error implements error.
func (e *DamagedError) Error() string {
	text := fmt.Sprintf("%s: damaged record at byte %d", e.File, e.Offset)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of decoding the record.
func (e *DamagedError) Unwrap() error { return e.Err }

package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/hashicorp/raft"
)

// A record in the file is the length of its body as 4 bytes, the CRC-32C of the body, and the body as JSON. Records of
// more than maxRecordBytes are not written; earlier versions wrote them, so they are read.
const (
	recordLengthBytes = 4
	recordHeaderBytes = 8
	maxRecordBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// walRecord is one change of the log or of the stable values: exactly one of its parts is set.
type walRecord struct {
	Entries []*raft.Log `json:"Logs,omitempty"`

	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`

	FirstDeleted uint64 `json:"Min,omitempty"`
	LastDeleted  uint64 `json:"Max,omitempty"` // the entries from FirstDeleted to this one are dropped
}

func (r walRecord) deletesEntries() bool { return r.LastDeleted > 0 }

// encode returns the record as the file holds it.
func (r walRecord) encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	encoded := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint32(encoded, crc32.Checksum(body, castagnoli))
	return append(encoded, body...), nil
}

// decodeRecord reads the body of a record.
func decodeRecord(body []byte) (record walRecord, err error) {
	err = json.Unmarshal(body, &record)
	return record, err
}

// recordLength returns the length of the first record of content, and whether content holds all of it.
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

// hasValidChecksum says whether the body of a complete record is what was written.
func hasValidChecksum(record []byte) bool {
	want := binary.BigEndian.Uint32(record[recordLengthBytes:])
	return crc32.Checksum(record[recordHeaderBytes:], castagnoli) == want
}

// DamagedError says that the log has a record that is not what was written. What stands behind it was promised to the
// other members, so the file is not used.
type DamagedError struct {
	File   string
	Offset int64 // of the record, in bytes
	Err    error // of decoding the record; nil if its checksum is wrong
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

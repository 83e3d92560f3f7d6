package fsm

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// A snapshot consists of a line with the version of its format, the length of the body as 8 bytes, the BLAKE3 checksum
// of the body, and the body, which is the state as JSON. A snapshot of the first version of the program is only a JSON
// object of keys and values.
const (
	snapshotMagic       = "limeladder state 2\n"
	snapshotLengthBytes = 8
	snapshotSumBytes    = 32
	snapshotHeaderBytes = len(snapshotMagic) + snapshotLengthBytes + snapshotSumBytes
)

// ErrSnapshotDamaged is returned for a snapshot that differs from what was written. No part of the snapshot is used.
var ErrSnapshotDamaged = errors.New("the snapshot is damaged")

// snapshotContent is the body of a snapshot.
type snapshotContent struct {
	Revision   uint64
	Compacted  uint64 `json:"Cut"`
	Records    []*Record
	History    map[string][]HistoryEntry
	Remembered []rememberedResult `json:"IDs"`
	Events     []Event
}

// Snapshot encodes the state. Equal states are encoded as equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	content := snapshotContent{
		Revision:   s.revision,
		Compacted:  s.compacted,
		History:    s.history,
		Remembered: append([]rememberedResult(nil), s.remembered...),
		Events:     s.events,
	}
	for _, key := range sortedKeys(s.records) {
		content.Records = append(content.Records, s.records[key])
	}
	body, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	sum := blake3.Sum256(body)
	encoded := binary.BigEndian.AppendUint64([]byte(snapshotMagic), uint64(len(body)))
	encoded = append(encoded, sum[:]...)
	return append(encoded, body...), nil
}

// Restore decodes a snapshot. All errors that it returns wrap ErrSnapshotDamaged.
func Restore(snapshot []byte, limits Limits) (*State, error) {
	if !bytes.HasPrefix(snapshot, []byte(snapshotMagic)) {
		return restoreFirstVersion(snapshot, limits)
	}
	body, err := snapshotBody(snapshot)
	if err != nil {
		return nil, err
	}
	var content snapshotContent
	if err := json.Unmarshal(body, &content); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	s := New(limits)
	s.revision = content.Revision
	s.compacted = content.Compacted
	s.events = content.Events
	for _, record := range content.Records {
		if record == nil || s.records[record.Key] != nil {
			return nil, fmt.Errorf("%w: null record or duplicate key", ErrSnapshotDamaged)
		}
		s.records[record.Key] = record
		s.bytes += size(record.Key, record.Value)
	}
	if content.History != nil {
		s.history = content.History
	}
	for _, remembered := range content.Remembered {
		s.remember(remembered.ID, remembered.Result)
	}
	return s, nil
}

// snapshotBody verifies the length and the checksum in the header of a snapshot and returns the body.
func snapshotBody(snapshot []byte) ([]byte, error) {
	if len(snapshot) < snapshotHeaderBytes {
		return nil, fmt.Errorf("%w: %d bytes are too short for the header", ErrSnapshotDamaged, len(snapshot))
	}
	header := snapshot[len(snapshotMagic):snapshotHeaderBytes]
	body := snapshot[snapshotHeaderBytes:]
	if length := binary.BigEndian.Uint64(header); length != uint64(len(body)) {
		return nil, fmt.Errorf("%w: body has %d bytes, want %d", ErrSnapshotDamaged, len(body), length)
	}
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], header[snapshotLengthBytes:]) {
		return nil, fmt.Errorf("%w: body does not match its checksum", ErrSnapshotDamaged)
	}
	return body, nil
}

// restoreFirstVersion decodes a snapshot of the first version. Its records have no kind and no revision; all of them
// are given the first revision.
func restoreFirstVersion(snapshot []byte, limits Limits) (*State, error) {
	values := map[string][]byte{}
	if err := json.Unmarshal(snapshot, &values); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	s := New(limits)
	if len(values) == 0 {
		return s, nil
	}
	const firstRevision = 1
	s.revision = firstRevision
	s.compacted = firstRevision
	for _, key := range sortedKeys(values) {
		s.records[key] = &Record{
			Key:            key,
			Value:          values[key],
			CreateRevision: firstRevision,
			ModRevision:    firstRevision,
		}
		s.bytes += size(key, values[key])
	}
	return s, nil
}

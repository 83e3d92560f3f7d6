package fsm

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// A snapshot is a line that names its version, the length of the body as 8 bytes, the BLAKE3 sum of the body, and the
// body: the state as JSON. A snapshot of the first version of the program is a bare JSON object of keys and values.
const (
	snapshotMagic       = "limeladder state 2\n"
	snapshotLengthBytes = 8
	snapshotSumBytes    = 32
	snapshotHeaderBytes = len(snapshotMagic) + snapshotLengthBytes + snapshotSumBytes
)

// ErrSnapshotDamaged says that a snapshot is not what was written. Nothing of it is used.
var ErrSnapshotDamaged = errors.New("the snapshot is damaged")

// image is the body of a snapshot.
type image struct {
	Revision   uint64
	Compacted  uint64 `json:"Cut"`
	Records    []*Record
	History    map[string][]HistoryEntry
	Remembered []rememberedResult `json:"IDs"`
	Events     []Event
}

// Snapshot encodes the state. The same state gives the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	img := image{
		Revision:   s.revision,
		Compacted:  s.compacted,
		History:    s.history,
		Remembered: append([]rememberedResult(nil), s.remembered...),
		Events:     s.events,
	}
	for _, key := range sortedKeys(s.records) {
		img.Records = append(img.Records, s.records[key])
	}
	body, err := json.Marshal(img)
	if err != nil {
		return nil, err
	}
	sum := blake3.Sum256(body)
	encoded := binary.BigEndian.AppendUint64([]byte(snapshotMagic), uint64(len(body)))
	encoded = append(encoded, sum[:]...)
	return append(encoded, body...), nil
}

// Restore decodes a snapshot. An error wraps ErrSnapshotDamaged.
func Restore(snapshot []byte, limits Limits) (*State, error) {
	if !bytes.HasPrefix(snapshot, []byte(snapshotMagic)) {
		return restoreFirstVersion(snapshot, limits)
	}
	body, err := snapshotBody(snapshot)
	if err != nil {
		return nil, err
	}
	var img image
	if err := json.Unmarshal(body, &img); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	s := New(limits)
	s.revision = img.Revision
	s.compacted = img.Compacted
	s.events = img.Events
	for _, record := range img.Records {
		if record == nil || s.records[record.Key] != nil {
			return nil, fmt.Errorf("%w: a key twice", ErrSnapshotDamaged)
		}
		s.records[record.Key] = record
		s.bytes += size(record.Key, record.Value)
	}
	if img.History != nil {
		s.history = img.History
	}
	for _, remembered := range img.Remembered {
		s.remember(remembered.ID, remembered.Result)
	}
	return s, nil
}

// snapshotBody checks the header of a snapshot and returns what stands behind it.
func snapshotBody(snapshot []byte) ([]byte, error) {
	if len(snapshot) < snapshotHeaderBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrSnapshotDamaged, len(snapshot))
	}
	header := snapshot[len(snapshotMagic):snapshotHeaderBytes]
	body := snapshot[snapshotHeaderBytes:]
	if length := binary.BigEndian.Uint64(header); length != uint64(len(body)) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrSnapshotDamaged, len(body), length)
	}
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], header[snapshotLengthBytes:]) {
		return nil, fmt.Errorf("%w: its sum is another", ErrSnapshotDamaged)
	}
	return body, nil
}

// restoreFirstVersion decodes a snapshot of the first version: its records have no kind, and all the first revision.
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

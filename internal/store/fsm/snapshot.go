package fsm

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// A snapshot is a line that names its form, the length of what follows, its sum, and the state as JSON. Those of the first
// form were a bare JSON object of keys and values.
const form = "limeladder state 2\n"

const head = len(form) + 8 + 32

// ErrSnapshot says that a snapshot is not what was written.
var ErrSnapshot = errors.New("the snapshot is damaged")

// image is a State as a snapshot keeps it.
type image struct {
	Revision uint64
	Cut      uint64
	Records  []*Record
	History  map[string][]Past
	IDs      []imageID
	Events   []Event
}

type imageID struct {
	ID     string
	Result Result
}

// Snapshot writes all of it. The same state gives the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	img := image{Revision: s.revision, Cut: s.cut, History: s.history, Events: s.events}
	for _, key := range keys(s.records) {
		img.Records = append(img.Records, s.records[key])
	}
	for _, d := range s.ids {
		img.IDs = append(img.IDs, imageID{d.id, d.result})
	}
	body, err := json.Marshal(img)
	if err != nil {
		return nil, err
	}
	sum := blake3.Sum256(body)
	out := binary.BigEndian.AppendUint64([]byte(form), uint64(len(body)))
	return append(append(out, sum[:]...), body...), nil
}

// Restore reads a snapshot. Of one that is damaged nothing is taken.
func Restore(p []byte, lim Limits) (*State, error) {
	if !bytes.HasPrefix(p, []byte(form)) {
		return first(p, lim)
	}
	if len(p) < head {
		return nil, fmt.Errorf("%w: %d bytes", ErrSnapshot, len(p))
	}
	body := p[head:]
	if n := binary.BigEndian.Uint64(p[len(form):]); n != uint64(len(body)) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrSnapshot, len(body), n)
	}
	if sum := blake3.Sum256(body); !bytes.Equal(sum[:], p[len(form)+8:head]) {
		return nil, fmt.Errorf("%w: its sum is another", ErrSnapshot)
	}
	var img image
	if err := json.Unmarshal(body, &img); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshot, err)
	}
	s := New(lim)
	s.revision, s.cut, s.events = img.Revision, img.Cut, img.Events
	for _, r := range img.Records {
		if r == nil || s.records[r.Key] != nil {
			return nil, fmt.Errorf("%w: a key twice", ErrSnapshot)
		}
		s.records[r.Key] = r
		s.bytes += size(r.Key, r.Value)
	}
	if img.History != nil {
		s.history = img.History
	}
	for _, d := range img.IDs {
		s.remember(d.ID, d.Result)
	}
	return s, nil
}

// first reads the first form: what it holds are records of no kind, all of the first revision.
func first(p []byte, lim Limits) (*State, error) {
	values := map[string][]byte{}
	if err := json.Unmarshal(p, &values); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshot, err)
	}
	s := New(lim)
	if len(values) == 0 {
		return s, nil
	}
	s.revision, s.cut = 1, 1
	for _, key := range keys(values) {
		s.records[key] = &Record{Key: key, Value: values[key], Created: 1, Revision: 1}
		s.bytes += size(key, values[key])
	}
	return s, nil
}

// Decode reads a change as the log holds it. Entries of the first form set one key.
func Decode(p []byte) (Change, error) {
	var c struct {
		Change
		Key   *string
		Value []byte
	}
	if err := json.Unmarshal(p, &c); err != nil {
		return Change{}, err
	}
	if c.Key != nil && len(c.Ops) == 0 {
		return Change{Ops: []Op{{Key: *c.Key, Value: c.Value}}}, nil
	}
	return c.Change, nil
}

// Encode writes it.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

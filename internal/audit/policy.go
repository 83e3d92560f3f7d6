package audit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
)

// Policy says which events are recorded. It decides alike for the same events and key. Only one goroutine may use it.
type Policy struct {
	kinds         [kindCount]bool
	outcomes      [outcomeCount]bool
	recordsReads  bool   // whether served reads are recorded at all
	readThreshold uint64 // of them, those whose hash lies under this are recorded
	hash          *blake3.Hasher
}

// errShareWithoutKey says that sampling was asked for where no key was given.
var errShareWithoutKey = errors.New("reads: a share under 1 needs a key")

// Rules are the words of the operators' file.
type Rules struct {
	Kinds    []string // of Kinds, in any case; empty = all
	Outcomes []string // of Outcomes; empty = all
	Reads    float64  // share of the served reads that are recorded, 0 to 1; it needs a key under 1
}

// NewPolicy checks the rules; an error starts with the field's name. key is the secret by which reads are sampled, so
// that no client can choose request ids that are never recorded.
func NewPolicy(rules Rules, key *Secret) (*Policy, error) {
	policy := &Policy{readThreshold: math.MaxUint64, recordsReads: rules.Reads > 0}
	if err := selectNames(policy.kinds[:], rules.Kinds, Kinds()); err != nil {
		return nil, fmt.Errorf("kinds: %w", err)
	}
	if err := selectNames(policy.outcomes[:], rules.Outcomes, Outcomes()); err != nil {
		return nil, fmt.Errorf("outcomes: %w", err)
	}
	// Without these records a gap or an end in the file could not be explained.
	for _, kind := range []Kind{KindStart, KindEnd, KindDropped, KindChain} {
		policy.kinds[kind] = true
	}
	switch {
	case math.IsNaN(rules.Reads) || rules.Reads < 0 || rules.Reads > 1:
		return nil, fmt.Errorf("reads: %v is no share from 0 to 1", rules.Reads)
	case rules.Reads > 0 && rules.Reads < 1:
		if key == nil {
			return nil, errShareWithoutKey
		}
		policy.readThreshold = uint64(rules.Reads * (1 << 63) * 2)
		hash, err := blake3.NewKeyed(key[:])
		if err != nil {
			return nil, fmt.Errorf("reads: %w", err)
		}
		policy.hash = hash
	}
	return policy, nil
}

// selectNames marks those of the names that the operators chose; where they chose none, all.
func selectNames(set []bool, chosen, names []string) error {
	for i := range set {
		set[i] = len(chosen) == 0
	}
	for _, word := range chosen {
		i := slices.IndexFunc(names, func(name string) bool { return strings.EqualFold(name, word) })
		if i < 0 {
			return fmt.Errorf("%q is none of %s", word, strings.ToLower(strings.Join(names, ", ")))
		}
		set[i] = true
	}
	return nil
}

// Takes reports whether an event is recorded. Only served reads are sampled: every write, and every answer that was
// refused, failed or cut, is recorded unless the rules leave out its kind or outcome.
func (p *Policy) Takes(event Event) bool {
	if !p.kinds[event.kind()] {
		return false
	}
	answer, ok := event.(*Answer)
	if !ok {
		return true
	}
	if !p.outcomes[answer.Outcome] {
		return false
	}
	if answer.level() != LevelRead {
		return true
	}
	return p.recordsReads && (p.hash == nil || p.samples(answer.Request))
}

// samples reports whether the read with this id is one of the share that is recorded.
func (p *Policy) samples(id string) bool {
	var sum [32]byte
	p.hash.Reset()
	p.hash.WriteString("sample\n")
	p.hash.WriteString(id)
	return binary.LittleEndian.Uint64(p.hash.Sum(sum[:0])[:8]) < p.readThreshold
}

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

// Policy selects the events to record. The same rules and key always select the same events. It is not safe for
// concurrent use.
type Policy struct {
	kinds         [kindCount]bool
	outcomes      [outcomeCount]bool
	recordsReads  bool   // whether any served reads are recorded
	readThreshold uint64 // a served read is recorded if the hash of its request id is below this
	hash          *blake3.Hasher
}

// errSamplingWithoutKey is returned where the rules ask for sampling but there is no key.
var errSamplingWithoutKey = errors.New("reads: a share below 1 needs a key")

// Rules are the audit rules as the operators' settings file gives them.
type Rules struct {
	Kinds    []string // names of Kinds, in upper or lower case; empty = all
	Outcomes []string // names of Outcomes, in upper or lower case; empty = all
	Reads    float64  // share of the served reads to record, 0 to 1; a share between them needs a key
}

// NewPolicy returns a Policy that follows rules. An error starts with the name of the invalid field. key is the secret
// that reads are sampled with; it keeps clients from choosing request ids that are never recorded.
func NewPolicy(rules Rules, key *Secret) (*Policy, error) {
	policy := &Policy{readThreshold: math.MaxUint64, recordsReads: rules.Reads > 0}
	if err := selectNames(policy.kinds[:], rules.Kinds, Kinds()); err != nil {
		return nil, fmt.Errorf("kinds: %w", err)
	}
	if err := selectNames(policy.outcomes[:], rules.Outcomes, Outcomes()); err != nil {
		return nil, fmt.Errorf("outcomes: %w", err)
	}
	// These records explain gaps and the end of a file, so they are always selected.
	for _, kind := range []Kind{KindStart, KindEnd, KindDropped, KindChain} {
		policy.kinds[kind] = true
	}
	switch {
	case math.IsNaN(rules.Reads) || rules.Reads < 0 || rules.Reads > 1:
		return nil, fmt.Errorf("reads: %v is not a share from 0 to 1", rules.Reads)
	case rules.Reads > 0 && rules.Reads < 1:
		if key == nil {
			return nil, errSamplingWithoutKey
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

// selectNames sets the elements of set whose names were chosen, or all of them if none were.
func selectNames(set []bool, chosen, names []string) error {
	for i := range set {
		set[i] = len(chosen) == 0
	}
	for _, choice := range chosen {
		i := slices.IndexFunc(names, func(name string) bool { return strings.EqualFold(name, choice) })
		if i < 0 {
			return fmt.Errorf("%q is not one of %s", choice, strings.ToLower(strings.Join(names, ", ")))
		}
		set[i] = true
	}
	return nil
}

// Selects reports whether to record an event. Only served reads are sampled: every write, and every read that was not
// served, is recorded unless the rules exclude its kind or outcome.
func (p *Policy) Selects(event Event) bool {
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
	if answer.level() != LevelServedRead {
		return true
	}
	return p.recordsReads && (p.hash == nil || p.isSampled(answer.Request))
}

// isSampled reports whether the read with this request id is part of the share that is recorded.
func (p *Policy) isSampled(id string) bool {
	var sum [32]byte
	p.hash.Reset()
	p.hash.WriteString("sample\n")
	p.hash.WriteString(id)
	return binary.LittleEndian.Uint64(p.hash.Sum(sum[:0])[:8]) < p.readThreshold
}

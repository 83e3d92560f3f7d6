package audit

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
)

// Policy says which events are recorded. It decides alike for the same events and key. Only one goroutine may use it.
type Policy struct {
	kinds    [kinds]bool
	outcomes [outcomes]bool
	reads    bool   // reads that were served
	share    uint64 // of them, those whose hash lies under this
	hash     *blake3.Hasher
}

// Rules are the words of the operators' file.
type Rules struct {
	Kinds    []string // of Kinds, in any case; empty = all
	Outcomes []string // of Outcomes; empty = all
	Reads    float64  // share of the served reads that are recorded, 0 to 1; it needs a key under 1
}

// NewPolicy checks the rules; an error starts with the field's name. key is the secret by which reads are picked, so that
// no client can pick its own ids to stay out.
func NewPolicy(rules Rules, key *[32]byte) (*Policy, error) {
	p := &Policy{share: math.MaxUint64, reads: rules.Reads > 0}
	if err := mark(p.kinds[:], rules.Kinds, Kinds()); err != nil {
		return nil, fmt.Errorf("kinds: %w", err)
	}
	if err := mark(p.outcomes[:], rules.Outcomes, Outcomes()); err != nil {
		return nil, fmt.Errorf("outcomes: %w", err)
	}
	// What explains gaps and ends is never left out.
	for _, k := range []Kind{KindStart, KindEnd, KindDropped, KindChain} {
		p.kinds[k] = true
	}
	switch {
	case math.IsNaN(rules.Reads) || rules.Reads < 0 || rules.Reads > 1:
		return nil, fmt.Errorf("reads: %v is no share from 0 to 1", rules.Reads)
	case rules.Reads > 0 && rules.Reads < 1:
		if key == nil {
			return nil, fmt.Errorf("reads: a share under 1 needs a key")
		}
		p.share = uint64(rules.Reads * (1 << 63) * 2)
		h, err := blake3.NewKeyed(key[:])
		if err != nil {
			return nil, fmt.Errorf("reads: %w", err)
		}
		p.hash = h
	}
	return p, nil
}

func mark(set []bool, words, names []string) error {
	for i := range set {
		set[i] = len(words) == 0
	}
	for _, w := range words {
		i := slices.IndexFunc(names, func(n string) bool { return strings.EqualFold(n, w) })
		if i < 0 {
			return fmt.Errorf("%q is none of %s", w, strings.ToLower(strings.Join(names, ", ")))
		}
		set[i] = true
	}
	return nil
}

// Takes says whether an event is recorded. Refused, failed and cut ones and writes are never sampled.
func (p *Policy) Takes(e Event) bool {
	if !p.kinds[e.kind()] {
		return false
	}
	a, ok := e.(*Answer)
	if !ok {
		return true
	}
	if !p.outcomes[a.Outcome] {
		return false
	}
	if a.level() != LevelRead {
		return true
	}
	return p.reads && (p.hash == nil || p.picks(a.Request))
}

func (p *Policy) picks(id string) bool {
	var sum [32]byte
	p.hash.Reset()
	p.hash.WriteString("sample\n")
	p.hash.WriteString(id)
	return binary.LittleEndian.Uint64(p.hash.Sum(sum[:0])[:8]) < p.share
}

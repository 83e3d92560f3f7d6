package router

import (
	"hash/maphash"
	"time"
)

// departedWrites remembers the client request ids of writes that may have run and whose clients disconnected before the
// answer. A client that comes again under the id of such a write must not run it a second time. The ids are kept for a
// limited time, and their number is limited.
type departedWrites struct {
	seed  maphash.Seed
	ids   map[uint64]time.Duration // by the hash of an id: when it is forgotten
	order []uint64                 // the oldest first
}

const (
	departedWriteTime = 10 * time.Second
	maxDepartedWrites = 4096 // at 32 bytes each
)

func newDepartedWrites() departedWrites {
	return departedWrites{seed: maphash.MakeSeed(), ids: map[uint64]time.Duration{}}
}

// add remembers the id of a write.
func (d *departedWrites) add(id string, now time.Duration) {
	d.forgetOld(now)
	hash := maphash.String(d.seed, id)
	if _, known := d.ids[hash]; !known {
		d.order = append(d.order, hash)
	}
	d.ids[hash] = now + departedWriteTime
}

// contains reports whether a write with the id may have run.
func (d *departedWrites) contains(id string, now time.Duration) bool {
	if len(d.ids) == 0 {
		return false
	}
	forgottenAt, known := d.ids[maphash.String(d.seed, id)]
	return known && now < forgottenAt
}

// forgetOld drops the ids whose time is over, and the oldest one if there are too many.
func (d *departedWrites) forgetOld(now time.Duration) {
	for len(d.order) > 0 {
		oldest := d.order[0]
		if len(d.order) < maxDepartedWrites && now < d.ids[oldest] {
			return
		}
		delete(d.ids, oldest)
		d.order = d.order[1:]
	}
}

package model

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A machine's position, once told, holds from then on, whatever befalls it: a primary that dies comes back with all that it had.
func TestPositionNeverGoesBack(t *testing.T) {
	for seed := range uint64(20) {
		c, w, _ := machine(kind(), 3)
		rng := rand.New(rand.NewPCG(seed, 1))
		told := map[*Machine]time.Duration{}
		for step := range 2000 {
			c.Run(begin + time.Duration(step)*10*time.Millisecond)
			p := w.Banks[0].Primary
			p.Submit(&Work{Need: time.Millisecond, Write: true, Done: func(Outcome, time.Duration, bool) {}})
			for _, m := range w.Machines {
				if m.State() != Up {
					continue
				}
				if pos := m.Position(); pos < told[m] {
					t.Fatalf("seed %d: %s goes back from %v to %v at %v", seed, m.ID, told[m], pos, c.Now())
				} else {
					told[m] = pos
				}
			}
			if m := w.Machines[rng.IntN(3)]; rng.IntN(150) == 0 {
				switch rng.IntN(3) {
				case 0:
					m.Kill("test", time.Duration(rng.Int64N(int64(4*time.Second))+1))
				case 1:
					m.Hang(time.Duration(rng.Int64N(int64(4*time.Second)) + 1))
				default:
					m.Drain()
					c.After(2*time.Second, func() { m.Kill("restarted", time.Second) })
				}
			}
		}
	}
}

// A list whose roles come late says who led when it happened, no sooner than its time; one whose roles are those of the start
// goes on to say so.
func TestRolesComeLate(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			c, w, old := machine(kind(), 3)
			n := Notices{Change: [2]time.Duration{time.Second, time.Second}, Silent: [2]time.Duration{20 * time.Second, 20 * time.Second}}
			if late {
				n.Role = [2]time.Duration{3 * time.Second, 3 * time.Second}
			}
			changes := 0
			r := NewRegistry(w, n, func(p [2]time.Duration) time.Duration { return p[0] }, func(int) { changes++ })
			primaries := func() (out []*Machine) {
				for _, e := range r.Entries {
					if e.Primary {
						out = append(out, e.Machine)
					}
				}
				return out
			}
			old.Kill("test", 0)
			for !w.Banks[0].Leads() {
				c.Run(c.Now() + 10*time.Millisecond)
			}
			next := w.Banks[0].Primary
			c.Run(c.Now() + 2900*time.Millisecond)
			if p := primaries(); len(p) != 1 || p[0] != old || r.Version != 1 || changes != 0 {
				t.Fatalf("before its time: %d primaries, version %d", len(p), r.Version)
			}
			c.Run(c.Now() + 200*time.Millisecond)
			want := old
			if late {
				want = next
			}
			if p := primaries(); len(p) != 1 || p[0] != want || int64(changes) != r.Version-1 {
				t.Fatalf("%d primaries, %d changes, version %d", len(p), changes, r.Version)
			}
			since := 0
			if r.Since(1, func(Listing) { since++ }); late != (since == 2) {
				t.Errorf("%d entries have changed", since)
			}
		})
	}
}

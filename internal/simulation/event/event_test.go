package event

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Thousands at one instant come in the order in which they were asked for, whatever was stopped between them.
func TestOrder(t *testing.T) {
	c := New(time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	type mark struct {
		at  time.Duration
		seq int
	}
	var got, want []mark
	var stopped []*Event
	for i := range 20_000 {
		m := mark{time.Second + time.Duration(rng.IntN(5)), i}
		e := c.At(m.at, func() {
			if c.Now() != m.at {
				t.Fatalf("%v at %v", m, c.Now())
			}
			got = append(got, m)
		})
		if rng.IntN(3) == 0 {
			stopped = append(stopped, e)
		} else {
			want = append(want, m)
		}
	}
	rng.Shuffle(len(stopped), func(i, j int) { stopped[i], stopped[j] = stopped[j], stopped[i] })
	for _, e := range stopped {
		e.Stop()
		e.Stop()
	}
	slices.SortStableFunc(want, func(a, b mark) int { return int(a.at - b.at) })
	c.Run(2 * time.Second)
	if !slices.Equal(got, want) || c.Waiting() != 0 || c.Now() != 2*time.Second || int(c.Done()) != len(want) {
		t.Fatalf("%d of %d, %d wait, at %v", len(got), len(want), c.Waiting(), c.Now())
	}
}

// What an event asks for now is done before what comes later, and the past is now.
func TestNowAndPast(t *testing.T) {
	c := New(0)
	var got []int
	c.After(2, func() { got = append(got, 3) })
	c.After(1, func() {
		got = append(got, 1)
		c.At(0, func() { got = append(got, 2) })
	})
	c.Run(1)
	if !slices.Equal(got, []int{1, 2}) {
		t.Fatal(got)
	}
	c.Run(2)
	if !slices.Equal(got, []int{1, 2, 3}) {
		t.Fatal(got)
	}
}

func BenchmarkEvents(b *testing.B) {
	c := New(0)
	rng := rand.New(rand.NewPCG(1, 1))
	var next func()
	next = func() { c.After(time.Duration(rng.IntN(1_000_000)), next) }
	for range 5000 {
		next()
	}
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		c.Run(c.heap[0].at)
	}
}

package event

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Events that are due at the same instant run in the order in which they were scheduled, regardless of which other
// events were stopped.
func TestEventsOfOneInstantRunInOrderOfScheduling(t *testing.T) {
	clock := New(time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	type execution struct {
		due      time.Duration
		sequence int
	}
	var got, want []execution
	var stopped []*Event
	for i := range 20_000 {
		scheduled := execution{time.Second + time.Duration(rng.IntN(5)), i}
		event := clock.At(scheduled.due, func() {
			if clock.Now() != scheduled.due {
				t.Fatalf("%v ran at %v", scheduled, clock.Now())
			}
			got = append(got, scheduled)
		})
		if rng.IntN(3) == 0 {
			stopped = append(stopped, event)
		} else {
			want = append(want, scheduled)
		}
	}
	rng.Shuffle(len(stopped), func(i, j int) { stopped[i], stopped[j] = stopped[j], stopped[i] })
	for _, event := range stopped {
		event.Stop()
		event.Stop()
	}
	slices.SortStableFunc(want, func(a, b execution) int { return int(a.due - b.due) })
	clock.Run(2 * time.Second)
	if !slices.Equal(got, want) {
		t.Errorf("%d events ran, want %d in order of scheduling", len(got), len(want))
	}
	if clock.Pending() != 0 {
		t.Errorf("%d events are pending, want 0", clock.Pending())
	}
	if clock.Now() != 2*time.Second {
		t.Errorf("the clock is at %v, want 2s", clock.Now())
	}
	if int(clock.Executed()) != len(want) {
		t.Errorf("%d events were counted, want %d", clock.Executed(), len(want))
	}
}

// An event that a callback schedules for the past runs at the current time, before later events.
func TestCallbackSchedulesIntoThePast(t *testing.T) {
	clock := New(0)
	var got []int
	clock.After(2, func() { got = append(got, 3) })
	clock.After(1, func() {
		got = append(got, 1)
		clock.At(0, func() { got = append(got, 2) })
	})
	clock.Run(1)
	if !slices.Equal(got, []int{1, 2}) {
		t.Fatal(got)
	}
	clock.Run(2)
	if !slices.Equal(got, []int{1, 2, 3}) {
		t.Fatal(got)
	}
}

func BenchmarkEvents(b *testing.B) {
	clock := New(0)
	rng := rand.New(rand.NewPCG(1, 1))
	var next func()
	next = func() { clock.After(time.Duration(rng.IntN(1_000_000)), next) }
	for range 5000 {
		next()
	}
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		clock.Run(clock.queue[0].due)
	}
}

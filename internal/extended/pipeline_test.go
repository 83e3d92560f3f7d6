package extended

import (
	"slices"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/standin"
)

// A unit of work that waited behind another one for all of its time is refused and not run: its time runs from when it came. The one
// behind it is served.
func TestAUnitThatExpiredBehindAnotherIsNotRun(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	db := standin.NewDB(t, true, func(typ byte, id string) standin.Act {
		if id == "head" && typ == 'E' {
			asked <- true
			<-goOn
		}
		return standin.Act{}
	})
	c := standin.Dial(t, start(t, db).addr)
	c.Send(slices.Concat(prepare("a", sql("head", "job", 2500)), prepare("b", sql("late", "job", 300)), prepare("c", sql("next", "job", 2500)),
		pgwire.Append(nil, 'S')))
	c.Until('Z')
	sent := time.Now()
	c.Send(slices.Concat(unit("a"), unit("b"), unit("c")))
	<-asked
	for time.Since(sent) < 310*time.Millisecond { // until the time of the second is over
		time.Sleep(time.Millisecond)
	}
	release()
	for i, code := range []string{"", pgwire.TooManyConnections, ""} {
		if a := c.Until('Z'); a.Code != code || a.Ended {
			t.Fatalf("unit %d: %+v", i, a)
		}
	}
	for id, want := range map[string]int{"head": 1, "late": 0, "next": 1} {
		if n := db.Runs(id); n != want {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

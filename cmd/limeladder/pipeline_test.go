package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A write at the head of a pipeline is held by its db machine beyond the time of one behind it. The reads behind it are done meanwhile; the
// write whose time was over before its turn is refused and never sent on; what stands behind that is served; each answer is in its
// place.
func TestAHeldHeadDelaysNoWorkAndNothingExpiredIsSent(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	dbs, list, agent := bank(t, func(typ byte, id string) testserver.Act {
		if id == "head" {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	d := serve(t, pushed(t, agent, list...))
	ready(t, d)
	runs := func(id string, of ...*testserver.DB) (n int) {
		for _, db := range of {
			n += db.Runs(id)
		}
		return n
	}
	within := func(id, class string, d int) []byte {
		return query(fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=7 */ SELECT 1", id, class, d))
	}
	c := testserver.Dial(t, d.fronts[0].listener.Addr().String())
	sent := time.Now()
	c.Send(slices.Concat(within("head", "job", 2500), within("r1", "look", 2500), within("r2", "look", 2500), within("w1", "job", 300),
		within("r3", "look", 2500), within("w2", "job", 2500)))
	<-asked
	for runs("r1", dbs[1:]...) != 1 || runs("r2", dbs[1:]...) != 1 {
		if time.Since(sent) > 2*time.Second {
			t.Fatal("reads wait for the head")
		}
		time.Sleep(time.Millisecond)
	}
	for time.Since(sent) < 310*time.Millisecond { // until the time of w1 is over
		time.Sleep(time.Millisecond)
	}
	release()
	for _, want := range []string{"head", "r1", "r2", "w1", "r3", "w2"} {
		a := c.Until('Z')
		if want == "w1" && (a.Types != "EZ" || a.Code != pgwire.TooManyConnections || a.Detail == "") || want != "w1" && a.Types != "TDCZ" {
			t.Fatalf("%s: %+v", want, a)
		}
	}
	for id, want := range map[string]int{"head": 1, "r1": 1, "r2": 1, "w1": 0, "r3": 1, "w2": 1} {
		if n := runs(id, dbs...); n != want {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// The watch moves, and then the process is told to end, while of one connection's pipelined requests the first is out, one is in hand beside it,
// one waits and one has come in part. Each is answered in its place, none runs twice, and then the connection ends.
func TestReloadAndShutdownWithPipelinedRequests(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(goOn) })
	defer release()
	dbs, list, agent := bank(t, func(typ byte, id string) testserver.Act {
		if id == "head" {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	other, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Stop)
	cfg := pushed(t, agent, list...)
	d := serve(t, cfg)
	ready(t, d)
	c := testserver.Dial(t, d.fronts[0].listener.Addr().String())
	late := query(sql("late", "look"))
	c.Send(slices.Concat(query(sql("head", "job")), query(sql("r1", "look")), query(sql("w", "job")), late[:20]))
	<-asked
	for dbs[1].Runs("r1")+dbs[2].Runs("r1") == 0 {
		time.Sleep(time.Millisecond)
	}
	moved := *cfg
	moved.Discovery = other.Addr
	do(d, func() { d.reload(&moved) })
	for end := time.Now().Add(20 * time.Second); other.Calls() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the watch does not move")
		}
	}
	do(d, d.drain)
	c.Send(late[20:])
	release()
	for _, want := range []string{"head", "r1", "w", "late"} {
		if a := c.Until('Z'); a.Types != "TDCZ" {
			t.Fatalf("%s: %+v", want, a)
		}
	}
	if a := c.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("%+v", a)
	}
	for _, id := range []string{"head", "r1", "w", "late"} {
		if n := dbs[0].Runs(id) + dbs[1].Runs(id) + dbs[2].Runs(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

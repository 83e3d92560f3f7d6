package testserver

import (
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
)

// What its peer writes to an endpoint that has stopped never runs and is noted as received: the peer had not seen the
// end.
func TestMessagesToAStoppedEndpointAreNotedAndNeverRun(t *testing.T) {
	d := NewDB(t, true, nil)
	c := Dial(t, d.Addr)
	c.Send(pgwire.AppendQuery(nil, "/* id=before,c=job,d=1000,cluster=7 */ SELECT 1"))
	if a := c.Until('Z'); a.Code != "" || d.Runs("before") != 1 {
		t.Fatalf("%+v, ran %d times", a, d.Runs("before"))
	}
	d.Stop()
	c.Send(pgwire.AppendQuery(nil, "/* id=behind,c=job,d=1000,cluster=7 */ SELECT 1"))
	for end := time.Now().Add(10 * time.Second); len(d.Log().Received) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("noted: %+v", d.Log().Received)
		}
	}
	if w := d.Log().Received[1]; w.ID != "behind" || d.Runs("behind") != 0 {
		t.Fatalf("%+v, ran %d times", w, d.Runs("behind"))
	}
	if a := c.Until('Z'); !a.Ended || a.Truncated {
		t.Fatalf("%+v", a)
	}
	if k, err := net.Dial("tcp", d.Addr); err == nil {
		k.Close()
		t.Fatal("it takes connections")
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	again := Dial(t, d.Addr)
	again.Send(pgwire.AppendQuery(nil, "/* id=again,c=job,d=1000,cluster=7 */ SELECT 1"))
	if a := again.Until('Z'); a.Code != "" || d.Runs("again") != 1 {
		t.Fatalf("%+v, ran %d times", a, d.Runs("again"))
	}
}

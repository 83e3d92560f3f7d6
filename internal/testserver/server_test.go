package testserver

import (
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
)

// A statement that a client sends before it notices that the endpoint has stopped is recorded as received and never
// executed. After a restart the endpoint executes statements again.
func TestMessagesToStoppedEndpointAreReceivedAndNeverExecuted(t *testing.T) {
	d := NewDB(t, true, nil)
	c := Dial(t, d.Addr)
	c.Send(pgwire.AppendQuery(nil, "/* id=before,c=job,d=1000,cluster=7 */ SELECT 1"))
	if a := c.Until('Z'); a.Code != "" || d.Runs("before") != 1 {
		t.Fatalf("got %+v and %d executions before the stop, expected no error and 1", a, d.Runs("before"))
	}
	d.Stop()
	c.Send(pgwire.AppendQuery(nil, "/* id=after,c=job,d=1000,cluster=7 */ SELECT 1"))
	for end := time.Now().Add(10 * time.Second); len(d.Log().Received) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("received %+v, expected 2 statements", d.Log().Received)
		}
	}
	if w := d.Log().Received[1]; w.ID != "after" || d.Runs("after") != 0 {
		t.Fatalf("got %+v and %d executions after the stop, expected statement \"after\" and 0", w, d.Runs("after"))
	}
	if a := c.Until('Z'); !a.Ended || a.Truncated {
		t.Fatalf("got %+v, expected the end of the connection without a response", a)
	}
	if k, err := net.Dial("tcp", d.Addr); err == nil {
		k.Close()
		t.Fatal("the stopped endpoint accepted a connection, expected it to be refused")
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	again := Dial(t, d.Addr)
	again.Send(pgwire.AppendQuery(nil, "/* id=again,c=job,d=1000,cluster=7 */ SELECT 1"))
	if a := again.Until('Z'); a.Code != "" || d.Runs("again") != 1 {
		t.Fatalf("got %+v and %d executions after the restart, expected no error and 1", a, d.Runs("again"))
	}
}

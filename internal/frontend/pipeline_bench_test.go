package frontend

import (
	"bytes"
	"testing"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// BenchmarkOneRequest is a client that asks one thing at a time, over a socket and the front to a core that answers at once.
func BenchmarkOneRequest(b *testing.B) { ahead(b, 1) }

// BenchmarkTenInOneWrite is one that sends ten requests in one write.
func BenchmarkTenInOneWrite(b *testing.B) { ahead(b, 10) }

func ahead(b *testing.B, n int) {
	_, _, _, addr := start(b)
	c := testserver.Dial(b, addr)
	p := bytes.Repeat(pgwire.AppendQuery(nil, sql("refused")), n)
	for b.Loop() {
		c.Send(p)
		for range n {
			if a := c.Until('Z'); a.Types != "EZ" {
				b.Fatalf("%+v", a)
			}
		}
	}
}

package frontend

import (
	"bytes"
	"testing"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// BenchmarkOneRequest measures a client that sends one request at a time, through a socket and the frontend to a router
// that answers at once.
func BenchmarkOneRequest(b *testing.B) { benchmarkPipelined(b, 1) }

// BenchmarkTenInOneWrite measures a client that sends ten requests in one write.
func BenchmarkTenInOneWrite(b *testing.B) { benchmarkPipelined(b, 10) }

func benchmarkPipelined(b *testing.B, count int) {
	b.Helper()
	_, _, _, addr := start(b)
	client := testserver.Dial(b, addr)
	message := bytes.Repeat(pgwire.AppendQuery(nil, statement("rejected")), count)
	for b.Loop() {
		client.Send(message)
		for range count {
			if answer := client.Until('Z'); answer.Types != "EZ" {
				b.Fatalf("response %+v, want types EZ", answer)
			}
		}
	}
}

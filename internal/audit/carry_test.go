package audit_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/syslog"
	"limeladder/internal/testserver/collector"
)

// Guards against records with hostile content that are lost or changed on a transport, or that the strict parser
// rejects. Each transport carries 10,000 of them.
func TestHostileRecordsOverEachTransport(t *testing.T) {
	ca, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	cert, _, _, err := ca.Issue("collector.example", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	for _, network := range []string{"udp", "tcp", "tls"} {
		t.Run(network, func(t *testing.T) {
			sendHostileRecords(t, network, ca, cert)
		})
	}
}

// sendHostileRecords sends the records over one transport and compares them with those that the collector received.
func sendHostileRecords(t *testing.T, network string, ca *collector.Authority, cert tls.Certificate) {
	t.Helper()
	const n, maxBytes = 10_000, 1500
	serverTLS := &tls.Config{Certificates: []tls.Certificate{cert}}
	c, err := collector.New(collector.Options{Network: network, TLS: serverTLS})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	p, err := syslog.ParseCollector(c.URL())
	if err != nil {
		t.Fatal(err)
	}
	s, err := syslog.NewSender(syslog.Options{
		Collectors: []syslog.Collector{p}, TLS: &tls.Config{RootCAs: ca.Pool}, MemoryBytes: 256 << 10,
		ConnectTimeout: 5 * time.Second, StallTimeout: 10 * time.Second,
		MinBackoff: time.Millisecond, MaxBackoff: time.Second, FailbackInterval: time.Hour,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(0)
	rng := rand.New(rand.NewPCG(5424, 6587))
	enc := newEncoder(t, maxBytes, &key)
	events, sent := make([]audit.Event, n), make([][]byte, n)
	for i := range n {
		events[i] = randomEvent(rng)
		record := audit.Record{Seq: uint64(i) + 1, Time: time.Unix(1.8e9, int64(i)), Event: events[i]}
		sent[i] = bytes.Clone(enc.Encode(record))
		for network == "udp" && i-c.Received() > 500 { // UDP has no flow control
			time.Sleep(time.Millisecond)
		}
		for s.Put(sent[i:i+1]) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for end := time.Now().Add(30 * time.Second); c.Received() < n && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	got := c.Messages()
	if len(got) != n || c.Fault() != nil {
		t.Fatalf("the collector received %d of %d messages, fault %v", len(got), n, c.Fault())
	}
	for i, msg := range got {
		if !bytes.Equal(msg, sent[i]) {
			t.Fatalf("message %d was received as %q, want %q", i, msg, sent[i])
		}
		checkMessage(t, events[i], msg, maxBytes)
	}
}

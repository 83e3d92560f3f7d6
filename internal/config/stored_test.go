package config_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/config"
	"limeladder/internal/syslog"
)

// The daemon keeps the deploy file in the store as JSON. testdata/deploy-stored.json is the output of the program at
// commit 4e3d53a: the stored names must stay the same even if the Go fields are renamed.
func TestGoldenStoredDeploy(t *testing.T) {
	half := 0.5
	var d config.Deploy
	d.ExtendedQuery.Listen = "127.0.0.1:5432"
	d.Failover.Classes = []string{"order"}
	d.Failover.Count = 1
	d.Failover.Bytes = 2
	d.Failover.Time = 3
	d.SiteFailover.Watch = true
	d.SiteFailover.Act = true
	d.Syslog = config.Syslog{
		Address: "a", Collectors: []string{"b"}, Anywhere: true, Facility: "c", Enterprise: 4, Host: "d", Bytes: 5,
		Repeat: 6, CA: "e", Cert: "f", Key: "g", Server: "h", FacilityCode: 7,
		ParsedCollectors: []syslog.Collector{{Network: "udp", Address: "i"}},
	}
	d.Syslog.Queue.Records = 8
	d.Syslog.Queue.Bytes = 9
	d.Syslog.Queue.Flush = 10
	d.Syslog.Spool.Folder = "j"
	d.Syslog.Spool.Bytes = 11
	d.Syslog.Spool.Replay = 12
	d.Audit = config.Audit{
		Kinds: []string{"k"}, Outcomes: []string{"l"}, Reads: &half, Keys: "m", Heads: 13, HeadsTime: time.Second,
		Rules: audit.Rules{Kinds: []string{"n"}, Outcomes: []string{"o"}, Reads: 0.25},
	}
	d.Store.Name = "p"
	d.Store.Folder = "q"
	d.Store.Peers = map[string]string{"r": "s"}
	d.Store.CA = "t"
	d.Store.Cert = "u"
	d.Store.Key = "v"
	encoded := encodeJSON(t, d)
	if *update {
		if err := os.WriteFile("testdata/deploy-stored.json", encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if stored := readGolden(t, "deploy-stored.json"); !bytes.Equal(encoded, stored) {
		t.Errorf("encoded as\n%s, want\n%s", encoded, stored)
	}
}

package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"name":"n3","listen":"10.0.0.4:6432","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":41,"full":true,"servers":[{"id":"s","addr":"a:1","state":"ready","cell":3,"started_ms":5}]},
 "settings":{"Instances":3,"Locality":"a","Discovery":"ask","Lanes":[{"Name":"r","AimNs":1,"GiveUpNs":2,"Effect":"safe","Group":"all"}],
 "Extra":{"Guards":"silent","NeedsByClass":["loose"],"OriginTimeNs":1},"Limits":{"ConnIdleNs":15,"ConnectTimeoutNs":25}}}`

func none(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(good), none)
	if err != nil || c.SeedValue != 0x8c1f30d27a5be964 || c.Known.Version != 41 || c.Balance.Instances != 3 || !c.Balance.PollDiscovery {
		t.Fatalf("%+v %v", c, err)
	}
	env := func(k string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.1:9", "EDGE_DISCOVERY": "127.0.0.1:10"}[k]
	}
	if c, err := Parse([]byte(good), env); err != nil || c.Listen != "127.0.0.1:9" || c.Discovery != "10.2.0.1:8500" {
		t.Fatalf("%+v %v", c, err)
	}
	if c, err := Parse([]byte(strings.Replace(good, "10.2.0.1:8500", "", 1)), env); err != nil || c.Discovery != "127.0.0.1:10" {
		t.Fatalf("%+v %v", c, err)
	}
}

func TestFaultsNameTheField(t *testing.T) {
	for _, f := range []struct{ old, new, field string }{
		{`"listen":"10.0.0.4:6432"`, `"listen":""`, "listen:"},
		{`10.2.0.1:8500`, `10.2.0.1`, "discovery:"},
		{`8c1f30d27a5be964`, `xyz`, "seed:"},
		{`"cores":1.0`, `"cores":0`, "limits.cores:"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores:"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb:"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets:"},
		{`"state":"ready"`, `"state":"well"`, "known.servers[0].state:"},
		{`"ConnIdleNs":15,`, ``, "settings.Limits.ConnIdleNs:"},
		{`"ConnectTimeoutNs":25`, `"ConnectTimeoutNs":0`, "settings.Limits.ConnectTimeoutNs:"},
		{`"Discovery":"ask"`, `"Discovery":"pull"`, "settings.Discovery:"},
		{`"Discovery":"ask",`, ``, "settings.Discovery:"},
		{`"Guards":"silent"`, `"Guards":"odd"`, "settings.Extra.Guards:"},
		{`"GiveUpNs":2`, `"GiveUpNs":0`, "settings: Classes: GiveUp"},
		{`{"name"`, `{"name"x`, "EDGE_CONFIG:"},
	} {
		_, err := Parse([]byte(strings.Replace(good, f.old, f.new, 1)), none)
		if err == nil || !strings.HasPrefix(err.Error(), f.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", f.field, err)
		}
	}
	if _, err := Load(none); err == nil || !strings.HasPrefix(err.Error(), "EDGE_CONFIG:") {
		t.Error(err)
	}
}

func TestDeploy(t *testing.T) {
	if d, err := LoadDeploy("../../deploy/limeladder.toml"); err != nil || d.Extended.Listen != "" || d.Syslog.On() || len(d.Store.Peers) > 0 {
		t.Fatalf("%+v %v: on the platform all of it is off", d, err)
	}
	if _, err := LoadDeploy("none.toml"); err != nil {
		t.Fatal(err)
	}
	for text, field := range map[string]string{
		"[extended]\nlisten = \"x\"":                                              "extended.listen:",
		"[extended]\nlisen = \"127.0.0.1:1\"":                                     "extended.lisen:",
		"[syslog]\naddress = \"10.0.0.1:514\"":                                    "syslog.address:",
		"[syslog]\naddress = \"127.0.0.1:1\"\ncollectors = [\"udp://127.0.0.1\"]": "syslog.address:",
		"[syslog]\ncollectors = [\"udp://127.0.0.1\", \"x\"]":                     "syslog.collectors[1]:",
		"[syslog]\ncollectors = [\"tcp://10.0.0.1\"]":                             "syslog.collectors[0]:",
		"[syslog]\ncollectors = [\"tcp://localhost\"]":                            "syslog.collectors[0]:",
		"[syslog]\ncollectors = [\"tls://127.0.0.1\"]\nca = \"none\"":             "syslog.ca:",
		"[syslog]\ncert = \"x\"":                                                  "syslog.cert:",
		"[syslog]\nfacility = \"local8\"":                                         "syslog.facility:",
		"[syslog]\nenterprise = -1":                                               "syslog.enterprise:",
		"[syslog]\nhost = \"a b\"":                                                "syslog.host:",
		"[syslog]\nbytes = 479":                                                   "syslog.bytes:",
		"[syslog]\nrepeat = -1":                                                   "syslog.repeat:",
		"[syslog.queue]\nrecords = 1":                                             "syslog.queue.records:",
		"[syslog.queue]\nbytes = 1":                                               "syslog.queue.bytes:",
		"[syslog.queue]\nflush = \"2m\"":                                          "syslog.queue.flush:",
		"[syslog.queue]\nflush = \"x\"":                                           "d.toml:",
		"[syslog.spool]\nbytes = 4194304":                                         "syslog.spool.folder:",
		"[syslog.spool]\nfolder = \"f\"\nbytes = 1":                               "syslog.spool.bytes:",
		"[syslog.spool]\nfolder = \"f\"\nreplay = -1":                             "syslog.spool.replay:",
		"[audit]\nkeys = \"none\"":                                                "audit.keys:",
		"[audit]\nkinds = [\"x\"]":                                                "audit.kinds:",
		"[audit]\noutcomes = [\"x\"]":                                             "audit.outcomes:",
		"[audit]\nreads = 1.5":                                                    "audit.reads:",
		"[audit]\nreads = 0.5":                                                    "audit.reads:",
		"[audit]\nheads = -1":                                                     "audit.heads:",
		"[audit]\nheads_time = \"2h\"":                                            "audit.heads_time:",
		"[store]\nca = \"x\"":                                                     "store.ca:",
		"[store]\nname = \"a\"":                                                   "store.folder:",
		"[store]\nname = \"a\"\nfolder = \"f\"":                                   "store.name:",
		"[store]\nname = \"a\"\nfolder = \"f\"\n[store.peers]\na = \"x\"":         "store.peers.a:",
	} {
		path := filepath.Join(t.TempDir(), "d.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadDeploy(path); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

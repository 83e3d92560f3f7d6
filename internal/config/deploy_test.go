package config

import (
	"os"
	"path/filepath"
	"testing"
)

// On the platform every feature of the deploy file is off.
func TestDeployedFile(t *testing.T) {
	d, err := LoadDeploy("../../deploy/limeladder.toml")
	if err != nil {
		t.Fatal(err)
	}
	if d.ExtendedQuery.Listen != "" || d.Syslog.Enabled() || len(d.Store.Peers) > 0 {
		t.Errorf("got %+v, want the extended-query frontend, syslog and the store off", d)
	}
}

func TestNoDeployFile(t *testing.T) {
	if _, err := LoadDeploy("none.toml"); err != nil {
		t.Fatal(err)
	}
}

func TestDeployErrorsNameTheField(t *testing.T) {
	for _, test := range []struct{ text, field string }{
		{"[extended]\nlisten = \"x\"", "extended.listen"},
		{"[extended]\nlisen = \"127.0.0.1:1\"", "extended.lisen"},
		{"[syslog]\naddress = \"10.0.0.1:514\"", "syslog.address"},
		{"[syslog]\naddress = \"127.0.0.1:1\"\ncollectors = [\"udp://127.0.0.1\"]", "syslog.address"},
		{"[syslog]\ncollectors = [\"udp://127.0.0.1\", \"x\"]", "syslog.collectors[1]"},
		{"[syslog]\ncollectors = [\"tcp://10.0.0.1\"]", "syslog.collectors[0]"},
		{"[syslog]\ncollectors = [\"tcp://localhost\"]", "syslog.collectors[0]"},
		{"[syslog]\ncollectors = [\"tls://127.0.0.1\"]\nca = \"none\"", "syslog.ca"},
		{"[syslog]\ncert = \"x\"", "syslog.cert"},
		{"[syslog]\nfacility = \"local8\"", "syslog.facility"},
		{"[syslog]\nenterprise = -1", "syslog.enterprise"},
		{"[syslog]\nhost = \"a b\"", "syslog.host"},
		{"[syslog]\nbytes = 479", "syslog.bytes"},
		{"[syslog]\nrepeat = -1", "syslog.repeat"},
		{"[syslog.queue]\nrecords = 1", "syslog.queue.records"},
		{"[syslog.queue]\nbytes = 1", "syslog.queue.bytes"},
		{"[syslog.queue]\nflush = \"2m\"", "syslog.queue.flush"},
		{"[syslog.queue]\nflush = \"x\"", ""},
		{"[syslog.spool]\nbytes = 4194304", "syslog.spool.folder"},
		{"[syslog.spool]\nfolder = \"f\"\nbytes = 1", "syslog.spool.bytes"},
		{"[syslog.spool]\nfolder = \"f\"\nreplay = -1", "syslog.spool.replay"},
		{"[audit]\nkeys = \"none\"", "audit.keys"},
		{"[audit]\nkinds = [\"x\"]", "audit.kinds"},
		{"[audit]\noutcomes = [\"x\"]", "audit.outcomes"},
		{"[audit]\nreads = 1.5", "audit.reads"},
		{"[audit]\nreads = 0.5", "audit.reads"},
		{"[audit]\nheads = -1", "audit.heads"},
		{"[audit]\nheads_time = \"2h\"", "audit.heads_time"},
		{"[store]\nca = \"x\"", "store.ca"},
		{"[store]\nname = \"a\"", "store.folder"},
		{"[store]\nname = \"a\"\nfolder = \"f\"", "store.name"},
		{"[store]\nname = \"a\"\nfolder = \"f\"\n[store.peers]\na = \"x\"", "store.peers.a"},
	} {
		t.Run(test.text, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "d.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadDeploy(path)
			checkFieldError(t, err, path, test.field)
		})
	}
}

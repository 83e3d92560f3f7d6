package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/syslog"
)

// Syslog says where the records go, and how. It is off where it names no collector.
type Syslog struct {
	Address    string   `toml:"address"`    // one collector over UDP, as host:port; the same as collectors = ["udp://..."]
	Collectors []string `toml:"collectors"` // udp://, tcp:// or tls://, the preferred one first
	Anywhere   bool     `toml:"anywhere"`   // they need not be on this machine
	Facility   string   `toml:"facility"`   // "" = daemon
	Enterprise int64    `toml:"enterprise"` // the operator's private enterprise number, 0 = the one for examples
	Host       string   `toml:"host"`       // HOSTNAME, "" = the machine's name
	Bytes      int      `toml:"bytes"`      // of one message, 0 = 2048
	Repeat     int      `toml:"repeat"`     // bytes that are sent again behind a connection that broke

	CA     string `toml:"ca"`          // PEM file of those who vouch for collectors, "" = the system's
	Cert   string `toml:"cert"`        // PEM files of the router's own certificate
	Key    string `toml:"key"`         // and its key
	Server string `toml:"server_name"` // what the collector's certificate is to say, "" = the host of its address

	Queue struct {
		Records int           `toml:"records"` // that wait to be sent, 0 = by memory
		Bytes   int           `toml:"bytes"`
		Flush   time.Duration `toml:"flush"` // how long the program's end waits for them, 0 = 1 s
	} `toml:"queue"`
	Spool struct {
		Folder string `toml:"folder"` // "" = none
		Bytes  int64  `toml:"bytes"`  // 0 = 64 MiB
		Replay int    `toml:"replay"` // messages a second from it, 0 = as fast as they are taken
	} `toml:"spool"`

	Parsed       []syslog.Collector `toml:"-"`
	FacilityCode uint8              `toml:"-"`
	TLS          *tls.Config        `toml:"-"`
}

// Audit says what is recorded.
type Audit struct {
	Kinds    []string      `toml:"kinds"`      // empty = all
	Outcomes []string      `toml:"outcomes"`   // empty = all
	Reads    *float64      `toml:"reads"`      // share of the served reads, 0 to 1; left out = all
	Keys     string        `toml:"keys"`       // the key file, "" = records do not chain
	Heads    int           `toml:"heads"`      // messages from one head of the chain to the next, 0 = 256
	Every    time.Duration `toml:"heads_time"` // and the longest time, 0 = 10 s

	Loaded audit.Keys  `toml:"-"`
	Rules  audit.Rules `toml:"-"`
}

// On says whether there is anybody to send to.
func (s *Syslog) On() bool { return len(s.Parsed) > 0 }

// exampleEnterprise is the number that RFC 5612 sets aside for documentation.
const exampleEnterprise = 32473

// check reads what the fields say. An error starts with the field's name.
func (s *Syslog) check() (err error) {
	urls := s.Collectors
	if s.Address != "" {
		if len(urls) > 0 {
			return errors.New("syslog.address: collectors are named too")
		}
		if err := address(s.Address); err != nil {
			return fmt.Errorf("syslog.address: %w", err)
		}
		urls = []string{"udp://" + s.Address}
	}
	secure := false
	for i, u := range urls {
		name := fmt.Sprintf("syslog.collectors[%d]", i)
		if s.Address != "" {
			name = "syslog.address"
		}
		c, err := syslog.ParseCollector(u)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !s.Anywhere && !c.Loopback() {
			return fmt.Errorf("%s: %q is no loopback address", name, c.Address)
		}
		secure = secure || c.Network == "tls"
		s.Parsed = append(s.Parsed, c)
	}
	facility := s.Facility
	if facility == "" {
		facility = "daemon"
	}
	if s.FacilityCode, err = syslog.Facility(facility); err != nil {
		return fmt.Errorf("syslog.facility: %w", err)
	}
	if s.Enterprise == 0 {
		s.Enterprise = exampleEnterprise
	}
	if s.Bytes == 0 {
		s.Bytes = 2048
	}
	most := 64 << 10
	for _, c := range s.Parsed {
		if c.Network == "udp" {
			most = 65_507 // a datagram over IPv4
		}
	}
	switch {
	case s.Enterprise < 1 || s.Enterprise > 1<<32-1:
		return fmt.Errorf("syslog.enterprise: %d is no enterprise number", s.Enterprise)
	case s.Host != "" && s.Host != syslog.Printable(s.Host, syslog.HostMost):
		return fmt.Errorf("syslog.host: not of 1 to %d printable ASCII characters", syslog.HostMost)
	case s.Bytes < syslog.Smallest || s.Bytes > most:
		return fmt.Errorf("syslog.bytes: %d does not lie between %d and %d", s.Bytes, syslog.Smallest, most)
	case s.Repeat < 0 || s.Repeat > 16<<20:
		return fmt.Errorf("syslog.repeat: %d does not lie between 0 and %d", s.Repeat, 16<<20)
	case s.Queue.Records != 0 && (s.Queue.Records < 16 || s.Queue.Records > 1<<24):
		return fmt.Errorf("syslog.queue.records: %d does not lie between 16 and %d", s.Queue.Records, 1<<24)
	case s.Queue.Bytes != 0 && (s.Queue.Bytes < 64<<10 || s.Queue.Bytes > 1<<30):
		return fmt.Errorf("syslog.queue.bytes: %d does not lie between %d and %d", s.Queue.Bytes, 64<<10, 1<<30)
	case s.Queue.Flush < 0 || s.Queue.Flush > time.Minute:
		return fmt.Errorf("syslog.queue.flush: %v does not lie between 0s and 1m", s.Queue.Flush)
	case s.Spool.Bytes != 0 && s.Spool.Bytes < 1<<20:
		return fmt.Errorf("syslog.spool.bytes: %d is less than %d", s.Spool.Bytes, 1<<20)
	case s.Spool.Replay < 0:
		return fmt.Errorf("syslog.spool.replay: %d is negative", s.Spool.Replay)
	case s.Spool.Folder == "" && (s.Spool.Bytes != 0 || s.Spool.Replay != 0):
		return errors.New("syslog.spool.folder: missing")
	case (s.Cert == "") != (s.Key == ""):
		return errors.New("syslog.cert: cert and key belong together")
	}
	if secure {
		return s.secure()
	}
	return nil
}

// secure reads the files for TLS. RFC 5425, section 5.2: the collector's certificate is always checked.
func (s *Syslog) secure() error {
	s.TLS = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: s.Server}
	if s.CA != "" {
		text, err := os.ReadFile(s.CA)
		if err != nil {
			return fmt.Errorf("syslog.ca: %w", err)
		}
		if s.TLS.RootCAs = x509.NewCertPool(); !s.TLS.RootCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("syslog.ca: %s holds no certificate", s.CA)
		}
	}
	if s.Cert != "" {
		pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return fmt.Errorf("syslog.cert: %w", err)
		}
		s.TLS.Certificates = []tls.Certificate{pair}
	}
	return nil
}

func (a *Audit) check() error {
	if a.Keys != "" {
		text, err := os.ReadFile(a.Keys)
		if err != nil {
			return fmt.Errorf("audit.keys: %w", err)
		}
		if a.Loaded, err = audit.ParseKeys(text); err != nil {
			return fmt.Errorf("audit.keys: %s: %w", a.Keys, err)
		}
	}
	a.Rules = audit.Rules{Kinds: a.Kinds, Outcomes: a.Outcomes, Reads: 1}
	if a.Reads != nil {
		a.Rules.Reads = *a.Reads
	}
	if _, err := a.Policy(); err != nil {
		return fmt.Errorf("audit.%w", err)
	}
	switch {
	case a.Heads < 0 || a.Heads > 1<<20:
		return fmt.Errorf("audit.heads: %d does not lie between 0 and %d", a.Heads, 1<<20)
	case a.Every < 0 || a.Every > time.Hour:
		return fmt.Errorf("audit.heads_time: %v does not lie between 0s and 1h", a.Every)
	}
	return nil
}

// Policy returns what the rules say. Each has a state of its own.
func (a *Audit) Policy() (*audit.Policy, error) {
	var secret *[32]byte
	if len(a.Loaded) > 0 {
		secret = &a.Loaded[0].Secret
	}
	return audit.NewPolicy(a.Rules, secret)
}

package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"limeladder/internal/syslog"
)

const (
	// exampleEnterprise is the number that RFC 5612 sets aside for documentation.
	exampleEnterprise = 32473
	maxEnterprise     = 1<<32 - 1

	defaultFacility     = "daemon"
	defaultMessageBytes = 2048
	maxMessageBytes     = 64 << 10
	// maxDatagramBytes is the payload of the largest UDP datagram over IPv4.
	maxDatagramBytes = 65_507
)

// Syslog says where the records go, and how. It is off if it names no collector.
type Syslog struct {
	Address    string   `toml:"address"`    // one collector over UDP, as host:port; the same as collectors = ["udp://..."]
	Collectors []string `toml:"collectors"` // udp://, tcp:// or tls://, the preferred one first
	Anywhere   bool     `toml:"anywhere"`   // they need not be on this machine
	Facility   string   `toml:"facility"`   // empty = daemon
	Enterprise int64    `toml:"enterprise"` // the operator's private enterprise number; 0 = the one for examples
	Host       string   `toml:"host"`       // HOSTNAME; empty = the name of the machine
	Bytes      int      `toml:"bytes"`      // of one message; 0 = 2048
	Repeat     int      `toml:"repeat"`     // bytes that are sent again after a connection broke

	CA     string `toml:"ca"`          // PEM file of the authorities that vouch for collectors; empty = the system's
	Cert   string `toml:"cert"`        // PEM file of the router's own certificate
	Key    string `toml:"key"`         // PEM file of its key
	Server string `toml:"server_name"` // the name in the collector's certificate; empty = the host of its address

	Queue SyslogQueue `toml:"queue"`
	Spool SyslogSpool `toml:"spool"`

	// These are what the fields above amount to.
	ParsedCollectors []syslog.Collector `toml:"-" json:"Parsed"`
	FacilityCode     uint8              `toml:"-"`
	TLS              TLSConfig          `toml:"-"`
}

// TLSConfig is what collectors are reached with; its Config is nil where none is reached over TLS. It may hold the
// private key of the router's certificate, so it is never printed nor encoded.
type TLSConfig struct{ *tls.Config }

// Format implements fmt.Formatter, for every verb.
func (TLSConfig) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, "redacted") }

// LogValue implements slog.LogValuer.
func (TLSConfig) LogValue() slog.Value { return slog.StringValue("redacted") }

// MarshalJSON implements json.Marshaler.
func (TLSConfig) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// SyslogQueue bounds the records that wait to be sent.
type SyslogQueue struct {
	Records int           `toml:"records"` // 0 = by memory
	Bytes   int           `toml:"bytes"`   // 0 = by memory
	Flush   time.Duration `toml:"flush"`   // the exit of the program waits for them this long; 0 = 1 s
}

// SyslogSpool says where messages wait on disk while no collector accepts them.
type SyslogSpool struct {
	Folder string `toml:"folder"` // empty = none
	Bytes  int64  `toml:"bytes"`  // 0 = 64 MiB
	Replay int    `toml:"replay"` // messages a second from it; 0 = as fast as they are accepted
}

// Enabled says whether there is a collector to send to.
func (s *Syslog) Enabled() bool { return len(s.ParsedCollectors) > 0 }

// check checks the fields, fills in defaults and reads the files for TLS.
func (s *Syslog) check() error {
	if err := s.readCollectors(); err != nil {
		return err
	}
	if err := s.readFacility(); err != nil {
		return err
	}
	if s.Enterprise == 0 {
		s.Enterprise = exampleEnterprise
	}
	if s.Bytes == 0 {
		s.Bytes = defaultMessageBytes
	}
	if err := s.checkRanges(); err != nil {
		return err
	}
	if !s.uses("tls") {
		return nil
	}
	return s.readTLS()
}

// readCollectors parses the addresses of the collectors.
func (s *Syslog) readCollectors() error {
	if s.Address == "" {
		for i, url := range s.Collectors {
			if err := s.readCollector(fmt.Sprintf("syslog.collectors[%d]", i), url); err != nil {
				return err
			}
		}
		return nil
	}
	const field = "syslog.address"
	if len(s.Collectors) > 0 {
		return fieldErrorf(field, "collectors are named too")
	}
	if err := checkAddress(field, s.Address); err != nil {
		return err
	}
	return s.readCollector(field, "udp://"+s.Address)
}

func (s *Syslog) readCollector(field, url string) error {
	collector, err := syslog.ParseCollector(url)
	if err != nil {
		return &FieldError{Field: field, Reason: err}
	}
	if !s.Anywhere && !collector.Loopback() {
		return fieldErrorf(field, "%q is no loopback address", collector.Address)
	}
	s.ParsedCollectors = append(s.ParsedCollectors, collector)
	return nil
}

func (s *Syslog) readFacility() error {
	name := s.Facility
	if name == "" {
		name = defaultFacility
	}
	code, err := syslog.Facility(name)
	if err != nil {
		return &FieldError{Field: "syslog.facility", Reason: err}
	}
	s.FacilityCode = code
	return nil
}

// uses says whether a collector is reached over a network.
func (s *Syslog) uses(network string) bool {
	for _, collector := range s.ParsedCollectors {
		if collector.Network == network {
			return true
		}
	}
	return false
}

// checkRanges checks all that needs no file. The defaults of Enterprise and Bytes are filled in.
func (s *Syslog) checkRanges() error {
	const maxRepeat = 16 << 20
	maxBytes := maxMessageBytes
	if s.uses("udp") {
		maxBytes = maxDatagramBytes
	}
	return firstError(
		s.checkEnterprise(),
		s.checkHost(),
		checkRange("syslog.bytes", s.Bytes, syslog.Smallest, maxBytes),
		checkRange("syslog.repeat", s.Repeat, 0, maxRepeat),
		s.Queue.check(),
		s.Spool.check(),
		s.checkCertificate(),
	)
}

func (s *Syslog) checkEnterprise() error {
	if s.Enterprise < 1 || s.Enterprise > maxEnterprise {
		return fieldErrorf("syslog.enterprise", "%d is no enterprise number", s.Enterprise)
	}
	return nil
}

func (s *Syslog) checkHost() error {
	if s.Host != "" && s.Host != syslog.Printable(s.Host, syslog.HostMost) {
		return fieldErrorf("syslog.host", "not of 1 to %d printable ASCII characters", syslog.HostMost)
	}
	return nil
}

func (s *Syslog) checkCertificate() error {
	if (s.Cert == "") != (s.Key == "") {
		return fieldErrorf("syslog.cert", "cert and key belong together")
	}
	return nil
}

func (q *SyslogQueue) check() error {
	const (
		minRecords = 16
		maxRecords = 1 << 24
		minBytes   = 64 << 10
		maxBytes   = 1 << 30
		maxFlush   = time.Minute
	)
	return firstError(
		checkOptionalRange("syslog.queue.records", q.Records, minRecords, maxRecords),
		checkOptionalRange("syslog.queue.bytes", q.Bytes, minBytes, maxBytes),
		checkDuration("syslog.queue.flush", q.Flush, maxFlush, "1m"),
	)
}

func (s *SyslogSpool) check() error {
	const minBytes = 1 << 20
	needsFolder := s.Bytes != 0 || s.Replay != 0
	switch {
	case s.Bytes != 0 && s.Bytes < minBytes:
		return fieldErrorf("syslog.spool.bytes", "%d is less than %d", s.Bytes, minBytes)
	case s.Replay < 0:
		return fieldErrorf("syslog.spool.replay", "%d is negative", s.Replay)
	case needsFolder && s.Folder == "":
		return &FieldError{Field: "syslog.spool.folder", Reason: errMissing}
	}
	return nil
}

// readTLS reads the files for TLS. RFC 5425, section 5.2: the certificate of the collector is always checked.
func (s *Syslog) readTLS() error {
	s.TLS.Config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: s.Server}
	if s.CA != "" {
		text, err := os.ReadFile(s.CA)
		if err != nil {
			return &FieldError{Field: "syslog.ca", Reason: err}
		}
		s.TLS.RootCAs = x509.NewCertPool()
		if !s.TLS.RootCAs.AppendCertsFromPEM(text) {
			return fieldErrorf("syslog.ca", "%s holds no certificate", s.CA)
		}
	}
	if s.Cert != "" {
		pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			return &FieldError{Field: "syslog.cert", Reason: err}
		}
		s.TLS.Certificates = []tls.Certificate{pair}
	}
	return nil
}

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
	// exampleEnterprise is the private enterprise number that RFC 5612 reserves for documentation.
	exampleEnterprise = 32473
	maxEnterprise     = 1<<32 - 1

	defaultFacility     = "daemon"
	defaultMessageBytes = 2048
	maxMessageBytes     = 64 << 10
	// maxDatagramBytes is the largest payload of a UDP datagram over IPv4.
	maxDatagramBytes = 65_507
)

// Syslog is the section [syslog]: the collectors that records are sent to, and how. It is off without a collector.
type Syslog struct {
	Address    string   `toml:"address"`    // one UDP collector as host:port, short for collectors = ["udp://..."]
	Collectors []string `toml:"collectors"` // URLs with udp://, tcp:// or tls://, in order of preference
	Anywhere   bool     `toml:"anywhere"`   // allow collectors on addresses other than loopback
	Facility   string   `toml:"facility"`   // empty = daemon
	Enterprise int64    `toml:"enterprise"` // private enterprise number; 0 = exampleEnterprise
	Host       string   `toml:"host"`       // HOSTNAME of the messages; empty = the name of the machine
	Bytes      int      `toml:"bytes"`      // maximum size of a message; 0 = 2048
	Repeat     int      `toml:"repeat"`     // bytes that are sent again after a connection is lost

	CA     string `toml:"ca"`          // PEM file of the certificate authorities for collectors; empty = the system's
	Cert   string `toml:"cert"`        // PEM file of the router's own certificate
	Key    string `toml:"key"`         // PEM file of the certificate's private key
	Server string `toml:"server_name"` // expected name in the collector's certificate; empty = the host of its address

	Queue SyslogQueue `toml:"queue"`
	Spool SyslogSpool `toml:"spool"`

	// The following fields are derived from the fields above when the file is loaded.
	ParsedCollectors []syslog.Collector `toml:"-" json:"Parsed"`
	FacilityCode     uint8              `toml:"-"`
	TLS              TLSConfig          `toml:"-"`
}

// TLSConfig is the TLS configuration for collectors. Config is nil if no collector uses TLS. It may contain the private
// key of the router's certificate, so it is never printed or encoded.
type TLSConfig struct{ *tls.Config }

// Format implements fmt.Formatter. It writes the same text for every verb.
func (TLSConfig) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, "redacted") }

// LogValue implements slog.LogValuer.
func (TLSConfig) LogValue() slog.Value { return slog.StringValue("redacted") }

// MarshalJSON implements json.Marshaler.
func (TLSConfig) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// SyslogQueue bounds the queue of records to be sent.
type SyslogQueue struct {
	Records int           `toml:"records"` // maximum number of records; 0 = derived from the memory limit
	Bytes   int           `toml:"bytes"`   // maximum size of the records; 0 = derived from the memory limit
	Flush   time.Duration `toml:"flush"`   // maximum time that the program waits for the queue at exit; 0 = 1 s
}

// SyslogSpool configures the spool, which stores messages on disk while no collector accepts them.
type SyslogSpool struct {
	Folder string `toml:"folder"` // empty = no spool
	Bytes  int64  `toml:"bytes"`  // maximum size; 0 = 64 MiB
	Replay int    `toml:"replay"` // messages per second sent from the spool; 0 = no limit
}

// Enabled reports whether a collector is configured.
func (s *Syslog) Enabled() bool { return len(s.ParsedCollectors) > 0 }

// check validates the fields, fills in defaults and reads the TLS files.
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
	if !s.usesNetwork("tls") {
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
		return fieldErrorf(field, "cannot be combined with syslog.collectors")
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
		return fieldErrorf(field, "%q is not a loopback address, and syslog.anywhere is off", collector.Address)
	}
	s.ParsedCollectors = append(s.ParsedCollectors, collector)
	return nil
}

func (s *Syslog) readFacility() error {
	name := s.Facility
	if name == "" {
		name = defaultFacility
	}
	code, err := syslog.ParseFacility(name)
	if err != nil {
		return &FieldError{Field: "syslog.facility", Reason: err}
	}
	s.FacilityCode = code
	return nil
}

// usesNetwork reports whether a collector uses the given network: "udp", "tcp" or "tls".
func (s *Syslog) usesNetwork(network string) bool {
	for _, collector := range s.ParsedCollectors {
		if collector.Network == network {
			return true
		}
	}
	return false
}

// checkRanges validates the fields without reading files. It requires that the defaults of Enterprise and Bytes are
// filled in.
func (s *Syslog) checkRanges() error {
	const maxRepeat = 16 << 20
	maxBytes := maxMessageBytes
	if s.usesNetwork("udp") {
		maxBytes = maxDatagramBytes
	}
	return firstError(
		s.checkEnterprise(),
		s.checkHost(),
		checkRange("syslog.bytes", s.Bytes, syslog.MinMessageLimit, maxBytes),
		checkRange("syslog.repeat", s.Repeat, 0, maxRepeat),
		s.Queue.check(),
		s.Spool.check(),
		s.checkCertificate(),
	)
}

func (s *Syslog) checkEnterprise() error {
	if s.Enterprise < 1 || s.Enterprise > maxEnterprise {
		return fieldErrorf("syslog.enterprise", "%d is not an enterprise number", s.Enterprise)
	}
	return nil
}

func (s *Syslog) checkHost() error {
	if s.Host != "" && s.Host != syslog.Printable(s.Host, syslog.MaxHostBytes) {
		return fieldErrorf("syslog.host", "must consist of 1 to %d printable ASCII characters", syslog.MaxHostBytes)
	}
	return nil
}

func (s *Syslog) checkCertificate() error {
	if (s.Cert == "") != (s.Key == "") {
		return fieldErrorf("syslog.cert", "cert and key must be set together")
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

// readTLS reads the TLS files. The collector's certificate is always verified, as RFC 5425, section 5.2 requires.
func (s *Syslog) readTLS() error {
	s.TLS.Config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: s.Server}
	if s.CA != "" {
		text, err := os.ReadFile(s.CA)
		if err != nil {
			return &FieldError{Field: "syslog.ca", Reason: err}
		}
		s.TLS.RootCAs = x509.NewCertPool()
		if !s.TLS.RootCAs.AppendCertsFromPEM(text) {
			return fieldErrorf("syslog.ca", "%s contains no certificate", s.CA)
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

package store

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// reloadInterval is the shortest time between two checks whether the files have changed.
const reloadInterval = time.Second

// TLSFiles name what members authenticate each other with, all in PEM. Without any of them they talk in the clear.
type TLSFiles struct {
	CA   string // the authorities that members trust; several while they are replaced
	Cert string // the certificate of this member, with its name among the DNS names
	Key  string
}

// configured says whether there are any.
func (f TLSFiles) configured() bool { return f != TLSFiles{} }

// settingFile is a file and the setting that names it.
type settingFile struct {
	setting string
	path    string
}

func (f TLSFiles) settings() [3]settingFile {
	return [...]settingFile{{"store.ca", f.CA}, {"store.cert", f.Cert}, {"store.key", f.Key}}
}

// credentials are what the files hold.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// fileVersion tells a file from the one that takes its place.
type fileVersion struct {
	modified time.Time
	size     int64
}

// memberTLS authenticates members by their certificates. It reads the files again where they have changed; connections
// that are established stay as they are. A nil *memberTLS leaves connections in the clear.
type memberTLS struct {
	files TLSFiles
	self  string
	peers map[string]string // addresses by name
	log   *slog.Logger

	mu        sync.Mutex
	checkedAt time.Time
	versions  [3]fileVersion
	current   credentials
	lastError string // of reading the files again; logged once
}

func newMemberTLS(files TLSFiles, self string, peers map[string]string, log *slog.Logger) (*memberTLS, error) {
	if !files.configured() {
		return nil, nil
	}
	m := &memberTLS{files: files, self: self, peers: peers, log: log}
	if err := m.load(); err != nil {
		return nil, err
	}
	return m, nil
}

// load takes all of what the files hold or nothing: a certificate that is replaced before its key changes nothing yet.
func (m *memberTLS) load() error {
	var versions [3]fileVersion
	var contents [3][]byte
	for i, file := range m.files.settings() {
		info, err := os.Stat(file.path)
		if err != nil {
			return fmt.Errorf("%s: %w", file.setting, err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		contents[i], err = os.ReadFile(file.path)
		if err != nil {
			return fmt.Errorf("%s: %w", file.setting, err)
		}
	}
	authorities, certificate, key := contents[0], contents[1], contents[2]
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return errors.New("store.ca: no certificate in it")
	}
	cert, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return fmt.Errorf("store.cert: %w", err)
	}
	if !slices.Contains(cert.Leaf.DNSNames, m.self) {
		return fmt.Errorf("store.cert: it is not for %s", m.self)
	}
	m.current = credentials{cert: &cert, pool: pool}
	m.versions = versions
	return nil
}

// credentials returns what is in force, after reading files that have changed. Files that can't be used change nothing.
func (m *memberTLS) credentials() credentials {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.checkedAt) < reloadInterval {
		return m.current
	}
	m.checkedAt = time.Now()
	if !m.filesChanged() {
		return m.current
	}
	failure := ""
	if err := m.load(); err != nil {
		failure = err.Error()
	} else {
		m.log.Info("store certificates reloaded")
	}
	if failure != "" && failure != m.lastError {
		m.log.Warn("store certificates not reloaded", "error", failure)
	}
	m.lastError = failure
	return m.current
}

// filesChanged says whether a file is missing or another one than the one that was read.
func (m *memberTLS) filesChanged() bool {
	for i, file := range m.files.settings() {
		info, err := os.Stat(file.path)
		if err != nil {
			return true
		}
		if !info.ModTime().Equal(m.versions[i].modified) || info.Size() != m.versions[i].size {
			return true
		}
	}
	return false
}

// checkMember checks that a certificate belongs to the member at address, or to any member if address is empty.
func (m *memberTLS) checkMember(cert *x509.Certificate, address string) error {
	for name, memberAddress := range m.peers {
		if address != "" && address != memberAddress {
			continue
		}
		if slices.Contains(cert.DNSNames, name) {
			return nil
		}
	}
	return fmt.Errorf("store: %q is no member's certificate", cert.DNSNames)
}

// verifier returns the check of the certificate that the other side shows.
func (m *memberTLS) verifier(
	pool *x509.CertPool, usage x509.ExtKeyUsage, address string,
) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("store: no certificate")
		}
		leaf := state.PeerCertificates[0]
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		options := x509.VerifyOptions{
			Roots:         pool,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		if _, err := leaf.Verify(options); err != nil {
			return err
		}
		return m.checkMember(leaf, address)
	}
}

// server returns the connection over which a member that has connected is authenticated by the first read.
func (m *memberTLS) server(conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	current := m.credentials()
	return tls.Server(conn, &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*current.cert},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection:       m.verifier(current.pool, x509.ExtKeyUsageClientAuth, ""),
	})
}

// client authenticates the member that was dialed at address. It closes the connection if that fails.
func (m *memberTLS) client(conn net.Conn, address string, timeout time.Duration) (net.Conn, error) {
	if m == nil {
		return conn, nil
	}
	current := m.credentials()
	secured := tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.cert},
		// Members are known by their names, not by where they listen: the verifier checks what a host name would.
		InsecureSkipVerify: true,
		VerifyConnection:   m.verifier(current.pool, x509.ExtKeyUsageServerAuth, address),
	})
	secured.SetDeadline(time.Now().Add(timeout))
	if err := secured.Handshake(); err != nil {
		secured.Close()
		return nil, err
	}
	secured.SetDeadline(time.Time{})
	return secured, nil
}

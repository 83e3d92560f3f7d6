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

// reloadInterval is the minimum interval between two checks for changed files.
const reloadInterval = time.Second

// TLSFiles holds the paths of the PEM files with which members authenticate each other. If all of them are empty,
// connections between members are not encrypted.
type TLSFiles struct {
	CA   string // certificate authorities that members trust; several while one replaces another
	Cert string // certificate of this member, whose DNS names include the member's name
	Key  string // private key of Cert
}

// configured reports whether any file is set.
func (f TLSFiles) configured() bool { return f != TLSFiles{} }

// settingFile is the path of a file and the setting that contains it.
type settingFile struct {
	setting string
	path    string
}

func (f TLSFiles) settings() [3]settingFile {
	return [...]settingFile{{"store.ca", f.CA}, {"store.cert", f.Cert}, {"store.key", f.Key}}
}

// credentials are the parsed contents of the files.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// fileVersion identifies a version of a file, to detect that the file was replaced.
type fileVersion struct {
	modified time.Time
	size     int64
}

// memberTLS authenticates members by their certificates. It reloads the files when they change; established connections
// keep the credentials that they were opened with. A nil *memberTLS leaves connections unencrypted.
type memberTLS struct {
	files TLSFiles
	self  string
	peers map[string]string // addresses by name
	log   *slog.Logger

	mu        sync.Mutex
	checkedAt time.Time
	versions  [3]fileVersion
	current   credentials
	lastError string // of the last reload; the same error is logged only once
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

// load reads all files and replaces the credentials only if they fit together: a certificate that was replaced before
// its key has no effect yet.
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
		return errors.New("store.ca: no certificate found in file")
	}
	cert, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return fmt.Errorf("store.cert: %w", err)
	}
	if !slices.Contains(cert.Leaf.DNSNames, m.self) {
		return fmt.Errorf("store.cert: DNS names of the certificate do not include %s", m.self)
	}
	m.current = credentials{cert: &cert, pool: pool}
	m.versions = versions
	return nil
}

// credentials returns the current credentials, after reloading files that have changed. If they can't be loaded, the
// previous credentials stay in use.
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

// filesChanged reports whether a file is missing or differs from the version that was loaded.
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
	return fmt.Errorf("store: certificate for %q does not belong to the expected member", cert.DNSNames)
}

// verifier returns a function that verifies the certificate of the other member, for tls.Config.VerifyConnection.
func (m *memberTLS) verifier(
	pool *x509.CertPool, usage x509.ExtKeyUsage, address string,
) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("store: peer sent no certificate")
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

// server wraps an accepted connection in TLS. The first read performs the handshake, which authenticates the other
// member.
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

// client performs the TLS handshake with the member that was dialed at address, and closes the connection if the member
// can't be authenticated.
func (m *memberTLS) client(conn net.Conn, address string, timeout time.Duration) (net.Conn, error) {
	if m == nil {
		return conn, nil
	}
	current := m.credentials()
	secured := tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.cert},
		// Certificates name members, not hosts, so the standard verification of the host name is off. The verifier below
		// checks the certificate chain and the member's name instead.
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

package collector

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

const (
	// clockSkew is how far a peer's clock may be behind: certificates are valid from that long ago.
	clockSkew         = time.Hour
	authorityLifetime = 24 * time.Hour
)

// Authority is a certificate authority for tests. Its key is kept in memory only.
type Authority struct {
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	Pool       *x509.CertPool
	PEM        []byte
	nextSerial int64
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	a := &Authority{Pool: x509.NewCertPool()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "stand-in authority"},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a.key = key
	a.nextSerial = 2
	a.Pool.AddCert(a.cert)
	a.PEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a, nil
}

// Issue returns a certificate for 127.0.0.1 and a DNS name, valid up to the given time, together with the PEM
// encodings of the certificate and its key.
func (a *Authority) Issue(name string, until time.Time) (cert tls.Certificate, certPEM, keyPEM []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return cert, nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.nextSerial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     until,
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	a.nextSerial++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return cert, nil, nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return cert, nil, nil, err
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	cert, err = tls.X509KeyPair(certPEM, keyPEM)
	return cert, certPEM, keyPEM, err
}

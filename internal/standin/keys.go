package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Authority is a certificate authority that issues host certificates for tests and
// the demo. It is not safe for concurrent use.
type Authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// NewAuthority creates an authority with a new key. Its certificates are valid for 24
// hours.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "lacewingyard test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key, serial: 1}, err
}

// CertPool returns a pool with the authority's certificate as its only root.
func (a *Authority) CertPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// TLSConfig issues a certificate for a host and returns the host's TLS configuration.
func (a *Authority) TLSConfig(host string) (*tls.Config, error) {
	cert, err := a.issue(host)
	if err != nil {
		return nil, err
	}
	return peer.NewCredentials(cert, a.CertPool()).TLSConfig(), nil
}

// WriteFiles issues a certificate for a host and writes the certificate, its key and
// the authority's certificate into a directory as PEM files. It returns their paths.
func (a *Authority) WriteFiles(dir, host string) (settings.TLSFiles, error) {
	cert, err := a.issue(host)
	if err != nil {
		return settings.TLSFiles{}, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return settings.TLSFiles{}, err
	}
	files := settings.TLSFiles{
		CertFile: filepath.Join(dir, host+".crt"), KeyFile: filepath.Join(dir, host+".key"), CAFile: filepath.Join(dir, host+".ca"),
	}
	blocks := map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: cert.Certificate[0]},
		files.KeyFile:  {Type: "PRIVATE KEY", Bytes: key},
		files.CAFile:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	}
	for file, block := range blocks {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			return settings.TLSFiles{}, err
		}
	}
	return files, nil
}

// issue creates a key and a certificate for a host.
func (a *Authority) issue(host string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: host}, DNSNames: []string{peer.ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}

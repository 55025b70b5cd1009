package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TLSConfig returns the configuration for mutual TLS between hosts from a
// certificate and the authority that signed the certificates of all hosts.
func TLSConfig(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// LoadTLS reads the key files of a host.
func LoadTLS(files settings.KeyFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load host certificate")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("no certificate found in %s", files.CAFile)
	}
	return TLSConfig(cert, pool), nil
}

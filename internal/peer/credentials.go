package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// reloadInterval is the interval between checks of the key files for a change.
const reloadInterval = 5 * time.Second

// Credentials holds a host's certificate and private key and the certificate
// authority of all hosts. They can be replaced while connections are open; new
// handshakes use the new ones. Credentials is safe for concurrent use.
type Credentials struct {
	files   settings.TLSFiles
	current atomic.Pointer[credentialSet]
	refused atomic.Int64
}

type credentialSet struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modTimes [3]time.Time // modification times of the files
}

// NewCredentials returns credentials that are not read from files. Reload returns an error
// for them.
func NewCredentials(cert tls.Certificate, authority *x509.CertPool) *Credentials {
	c := &Credentials{}
	c.current.Store(&credentialSet{cert: cert, roots: authority})
	return c
}

// LoadCredentials reads the key files of a host: certificate, private key and authority.
func LoadCredentials(files settings.TLSFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	_, err := c.Reload()
	return c, err
}

// Reload reads the key files again if the modification time of one of them changed, and
// reports whether it replaced the credentials. On an error, the credentials in use stay.
func (c *Credentials) Reload() (changed bool, err error) {
	var modTimes [3]time.Time
	for i, file := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		info, err := os.Stat(file)
		if err != nil {
			return false, errors.Wrap(err, "check key file")
		}
		modTimes[i] = info.ModTime()
	}
	if old := c.current.Load(); old != nil && old.modTimes == modTimes {
		return false, nil
	}
	set, err := readKeyFiles(c.files)
	if err != nil {
		return false, err
	}
	set.modTimes = modTimes
	c.current.Store(set)
	return true, nil
}

func readKeyFiles(files settings.TLSFiles) (*credentialSet, error) {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load host certificate")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("no certificate found in %s", files.CAFile)
	}
	return &credentialSet{cert: cert, roots: roots}, nil
}

// Watch reloads changed key files until the context ends, at each interval and at each signal.
// It calls report after each reload, with nil, and after each failure, with the error.
func (c *Credentials) Watch(ctx context.Context, signals <-chan os.Signal, report func(error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-signals:
		case <-ctx.Done():
			return
		}
		if changed, err := c.Reload(); changed || err != nil {
			report(err)
		}
	}
}

// RefusedHandshakes returns the number of handshakes refused because the peer had
// no certificate that the authority signed.
func (c *Credentials) RefusedHandshakes() int64 { return c.refused.Load() }

// TLSConfig returns a TLS configuration for clients and servers that always uses the
// current credentials.
//
// The verification of crypto/tls uses roots that are fixed when the configuration is
// made, so verify replaces it with the same verification against the current roots.
func (c *Credentials) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ServerName:     ServerName,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &c.current.Load().cert, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().cert, nil
		},
		ClientAuth:         tls.RequestClientCert, // verify refuses and counts a peer without a certificate
		InsecureSkipVerify: true,                  // verify checks chain, name and key usage
		VerifyConnection:   c.verify,
		// A resumed session would not be verified against a changed authority.
		SessionTicketsDisabled: true,
	}
}

// verify accepts a peer whose certificate has ServerName and is signed by the
// authority.
func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		c.refused.Add(1)
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: ServerName, Roots: c.current.Load().roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		c.refused.Add(1)
		return errors.Wrap(err, "peer has no valid host certificate")
	}
	return nil
}

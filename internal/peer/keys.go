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

// reloadInterval is how often key files are checked for a change.
const reloadInterval = 5 * time.Second

// Credentials holds a host's certificate and the authority that signed those of all
// hosts. Both can be replaced while connections are open; new handshakes use
// the new ones. Credentials is safe for concurrent use.
type Credentials struct {
	files   settings.TLSFiles
	current atomic.Pointer[keyPair]
	refused atomic.Int64
}

type keyPair struct {
	cert  tls.Certificate
	roots *x509.CertPool
	stamp [3]time.Time // modification times of the files
}

// NewCredentials returns keys that are not read from files.
func NewCredentials(cert tls.Certificate, authority *x509.CertPool) *Credentials {
	k := &Credentials{}
	k.current.Store(&keyPair{cert: cert, roots: authority})
	return k
}

// LoadCredentials reads the key files of a host.
func LoadCredentials(files settings.TLSFiles) (*Credentials, error) {
	k := &Credentials{files: files}
	_, err := k.Reload()
	return k, err
}

// Reload reads the key files again if one of them changed. On an error the
// keys in use stay.
func (k *Credentials) Reload() (changed bool, err error) {
	var stamp [3]time.Time
	for i, file := range []string{k.files.CertFile, k.files.KeyFile, k.files.CAFile} {
		info, err := os.Stat(file)
		if err != nil {
			return false, errors.Wrap(err, "key file")
		}
		stamp[i] = info.ModTime()
	}
	if old := k.current.Load(); old != nil && old.stamp == stamp {
		return false, nil
	}
	pair, err := readKeyPair(k.files)
	if err != nil {
		return false, err
	}
	pair.stamp = stamp
	k.current.Store(pair)
	return true, nil
}

func readKeyPair(files settings.TLSFiles) (*keyPair, error) {
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
	return &keyPair{cert: cert, roots: roots}, nil
}

// Watch reloads changed key files until the context ends and reports each
// change or failure.
func (k *Credentials) Watch(ctx context.Context, report func(error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if changed, err := k.Reload(); changed || err != nil {
				report(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// RefusedHandshakes returns the number of handshakes refused because the other side had
// no certificate of the authority.
func (k *Credentials) RefusedHandshakes() int64 { return k.refused.Load() }

// TLSConfig returns a TLS configuration for both directions that follows the keys.
//
// The library's own verification uses roots that are fixed when the
// configuration is made, so it is replaced by the same verification against
// the roots in force; see verify.
func (k *Credentials) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ServerName:     ServerName,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current.Load().cert, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		ClientAuth:         tls.RequestClientCert, // verify refuses a peer without one, and counts it
		InsecureSkipVerify: true,                  // verify checks chain, name and use
		VerifyConnection:   k.verify,
		// A resumed session would skip a changed authority.
		SessionTicketsDisabled: true,
	}
}

// verify accepts a peer whose certificate the authority signed for hosts.
func (k *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		k.refused.Add(1)
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: ServerName, Roots: k.current.Load().roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		k.refused.Add(1)
		return errors.Wrap(err, "peer is not a host of this fleet")
	}
	return nil
}

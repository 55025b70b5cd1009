package demo

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Names and limits of the tenants that AddTenants adds.
const (
	demoTenant    = "anna" // sends the requests of the demo, without a limit
	limitedTenant = "ben"
	limitedRate   = 2 // requests/s, so that a loop of curl exceeds it
	limitedBurst  = 5
)

// tenantKeysDir holds the keys of the tenants, one per file, in Session.Dir.
const tenantKeysDir = "tenants"

// Keys are the keys of the demo's tenants by name. They exist in the demo's process and in the
// files of its session only.
type Keys map[string]string

// AddTenants gives a deployment two tenants with random keys.
func AddTenants(d *fleet.Deployment) Keys {
	keys := Keys{demoTenant: rand.Text(), limitedTenant: rand.Text()}
	digests := func(name string) []string {
		digest := tenant.Digest(keys[name])
		return []string{hex.EncodeToString(digest[:])}
	}
	d.Document.Tenants = []settings.Tenant{
		{Name: demoTenant, KeyDigests: digests(demoTenant)},
		{Name: limitedTenant, KeyDigests: digests(limitedTenant), Priority: settings.Batch.String(), RatePerS: limitedRate, Burst: limitedBurst},
	}
	return keys
}

// Client returns a client whose requests carry the key of the demo's tenant.
func (k Keys) Client() *http.Client { return &http.Client{Transport: keyTransport(k[demoTenant])} }

// keyTransport adds a key to each request.
type keyTransport string

// RoundTrip implements http.RoundTripper.
func (k keyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(api.HeaderAuthorization, tenant.Scheme+" "+string(k))
	return httpanswer.DefaultTransport.RoundTrip(req)
}

// write writes each key to a file of its own.
func (k Keys) write(dir string) error {
	if len(k) == 0 {
		return nil
	}
	dir = filepath.Join(dir, tenantKeysDir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create directory of the tenants' keys")
	}
	for name, key := range k {
		if err := os.WriteFile(filepath.Join(dir, name+".key"), []byte(key+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write the key of a tenant")
		}
	}
	return nil
}

// tenantUse sums up the use of tenants over all hosts.
func tenantUse(f *fleet.Fleet) []daemon.TenantStatus {
	var sum []daemon.TenantStatus
	index := map[string]int{}
	for _, h := range f.Running() {
		for _, t := range h.Daemon.Status().Tenants {
			i, ok := index[t.Name]
			if !ok {
				i = len(sum)
				index[t.Name] = i
				t.Tokens, t.PerS = 0, 0 // of one host only
				sum = append(sum, t)
				continue
			}
			sum[i].Requests += t.Requests
			sum[i].Refused += t.Refused
		}
	}
	return sum
}

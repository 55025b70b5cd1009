package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// maxKeys is the largest number of keys that a tenant holds at a time.
	maxKeys = 3
	// One call in oddCalls, on average, carries a key that its tenant does not hold, none, or
	// several, and one in claimCalls names a tenant by itself.
	oddCalls   = 15
	claimCalls = 20
	// minTenantPause and maxTenantPause bound the time between two changes of the tenants.
	minTenantPause = 300 * time.Millisecond
	maxTenantPause = 2 * time.Second
	// gentleInterval is the mean pause between two requests of a caller of the gentle tenant.
	gentleInterval = 50 * time.Millisecond
	// further is the name of the route with fetchPrefix, whose requests may come without a key.
	further = "further"
)

// initialTenants are the tenants of the first configuration: one without a limit, one far
// below it, one that sends several times its limit, one whose limit changes, and a gentle one.
// Callers send about 30 requests a second each.
var initialTenants = []platformtest.Tenant{
	{Name: "alder", Priority: 1},
	{Name: "birch", Rate: 400, Burst: 100, Priority: 1},
	{Name: "cedar", Rate: 8, Burst: 5, Priority: 2},
	{Name: "elder", Rate: changingLimits[0].Rate, Burst: changingLimits[0].Burst, Priority: 1},
	{Name: gentleTenant, Rate: 100, Burst: 20},
}

const (
	gentleTenant   = "hazel"
	changingTenant = 3 // index in initialTenants
)

// changingLimits are the limits among which that of the tenant changingTenant changes.
var changingLimits = []platformtest.Tenant{{Rate: 300, Burst: 60}, {Rate: 12, Burst: 6}, {Rate: 4, Burst: 4}}

// tenantBook has the tenants of the last published configuration, and the keys that were
// withdrawn. It is safe for concurrent use.
type tenantBook struct {
	mu        sync.Mutex
	tenants   []platformtest.Tenant
	withdrawn []string
	keys      int // issued so far
}

func newTenantBook() *tenantBook {
	b := &tenantBook{tenants: slices.Clone(initialTenants)}
	for i := range b.tenants {
		b.tenants[i].Keys = []string{b.newKey()}
	}
	return b
}

func (b *tenantBook) newKey() string {
	b.keys++
	return fmt.Sprintf("key-%04d", b.keys)
}

// published returns a copy of the tenants.
func (b *tenantBook) published() []platformtest.Tenant {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.tenants)
	for i := range out {
		out[i].Keys = slices.Clone(out[i].Keys)
	}
	return out
}

// adopt makes tenants those of the last published configuration.
func (b *tenantBook) adopt(tenants []platformtest.Tenant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := map[string]bool{}
	for _, t := range tenants {
		for _, key := range t.Keys {
			held[key] = true
		}
	}
	for _, t := range b.tenants {
		for _, key := range t.Keys {
			if !held[key] {
				b.withdrawn = append(b.withdrawn, key)
			}
		}
	}
	b.tenants = tenants
}

// credentials returns the values of the Authorization header of a call of a tenant, and the
// key that they present, empty if they present none.
func (b *tenantBook) credentials(rng *rand.Rand, tenant int) (values []string, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := b.tenants[tenant%len(b.tenants)].Keys
	key = keys[rng.IntN(len(keys))]
	if rng.IntN(oddCalls) > 0 {
		return []string{"Bearer " + key}, key
	}
	switch rng.IntN(6) {
	case 0:
		return nil, ""
	case 1:
		return []string{"Basic " + key}, ""
	case 2:
		return []string{"Bearer " + key, "Bearer " + key}, ""
	case 3:
		key = fmt.Sprintf("wrong-%04d", rng.IntN(10000))
	default:
		if len(b.withdrawn) > 0 {
			key = b.withdrawn[rng.IntN(len(b.withdrawn))]
		}
	}
	return []string{"Bearer " + key}, key
}

// authorize draws the credentials of a call.
func (c *caller) authorize(call *Call) {
	call.Authorization, call.Key = c.fleet.book.credentials(c.rng, c.tenant)
	if c.rng.IntN(claimCalls) == 0 {
		call.ClaimedTenant = initialTenants[c.rng.IntN(len(initialTenants))].Name
	}
}

// setHeader sets the credentials of a call in its request.
func (c *Call) setHeader(req *http.Request) {
	if len(c.Authorization) > 0 {
		req.Header["Authorization"] = c.Authorization
	}
	if c.ClaimedTenant != "" {
		req.Header.Set("Tenant", c.ClaimedTenant)
	}
}

// interval returns the mean pause between two requests.
func (c *caller) interval() time.Duration {
	if initialTenants[c.tenant%len(initialTenants)].Name == gentleTenant {
		return gentleInterval
	}
	return meanInterval
}

// changeTenants changes the tenants now and then until the context ends.
func (f *injector) changeTenants(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, minTenantPause+time.Duration(f.tenantRng.Int64N(int64(maxTenantPause-minTenantPause))))
		f.changeTenant()
	}
}

// changeTenant publishes a configuration with one change of the tenants: a key is added,
// withdrawn, replaced or moved to another tenant, or a limit changes.
func (f *injector) changeTenant() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quiet() {
		return
	}
	tenants := f.fleet.book.published()
	t := &tenants[f.tenantRng.IntN(len(tenants))]
	drawn := f.tenantRng.IntN(len(t.Keys))
	what := ""
	switch f.tenantRng.IntN(5) {
	case 0, 1:
		if len(t.Keys) < maxKeys {
			what = "has one more key"
			t.Keys = append(t.Keys, f.fleet.book.issue())
		} else {
			what = "has one key less"
			t.Keys = slices.Delete(t.Keys, drawn, drawn+1)
		}
	case 2:
		what = "has another key"
		t.Keys[drawn] = f.fleet.book.issue()
	case 3:
		to := &tenants[f.tenantRng.IntN(len(tenants))]
		if to == t {
			return
		}
		what = "loses a key to " + to.Name
		to.Keys = append(to.Keys, t.Keys[drawn])
		t.Keys[drawn] = f.fleet.book.issue()
	default:
		t = &tenants[changingTenant]
		l := changingLimits[f.tenantRng.IntN(len(changingLimits))]
		t.Rate, t.Burst = l.Rate, l.Burst
		what = fmt.Sprintf("has a limit of %g/s", l.Rate)
	}
	f.logf("tenant %s %s", t.Name, what)
	f.fleet.publishTenants(tenants)
}

// issue returns a new key.
func (b *tenantBook) issue() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newKey()
}

package catalog_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Patch of tenants", func() {
	now := time.Unix(1000, 0)
	route := &catalog.Route{Name: "r"}
	holds := func(name string, keys ...string) tenant.Tenant {
		t := tenant.Tenant{Name: name, Rate: 1}
		for _, k := range keys {
			t.Keys = append(t.Keys, tenant.Digest(k))
		}
		return t
	}
	presented := func(key string) tenant.Credential {
		return tenant.Credential{State: tenant.Presented, Digest: tenant.Digest(key)}
	}
	// patched returns the configuration that a peer with from has after it received the changes
	// to to, encoded as between hosts.
	patched := func(from, to *catalog.Config) *catalog.Config {
		c, peer := catalog.New(), catalog.New()
		for _, each := range []*catalog.Catalog{c, peer} {
			Expect(each.ApplyChanges(now, 1, []catalog.Item{{Kind: catalog.KindConfig, Revision: 1, Config: from}})).To(Succeed())
		}
		Expect(c.ApplyChanges(now, 2, []catalog.Item{{Kind: catalog.KindConfig, Revision: 2, Config: to}})).To(Succeed())
		changes, ok := c.ChangesSince(1, 1)
		Expect(ok).To(BeTrue())
		Expect(changes[0].Patch).NotTo(BeNil())
		data, err := cbor.Marshal(changes)
		Expect(err).NotTo(HaveOccurred())
		var received []catalog.Item
		Expect(cbor.Unmarshal(data, &received)).To(Succeed())
		Expect(peer.ApplyChanges(now, 2, received)).To(Succeed())
		return peer.View().Config
	}

	// Guards against a key that still identifies the tenant that held it before, and against
	// a withdrawn key or a removed tenant that stays in force on hosts that get patches.
	It("moves, adds and withdraws keys and removes tenants", func() {
		config := patched(
			&catalog.Config{Version: 1, HasTenants: true, Tenants: []tenant.Tenant{holds("a", "moved", "kept"), holds("b", "withdrawn"), holds("gone", "lost")}},
			&catalog.Config{Version: 2, HasTenants: true, Tenants: []tenant.Tenant{holds("new", "added"), holds("b", "moved"), holds("a", "kept")}})
		for key, name := range map[string]string{"moved": "b", "kept": "a", "added": "new", "withdrawn": "", "lost": ""} {
			t, ok := config.Identify(route, presented(key))
			Expect(ok).To(Equal(name != ""), key)
			if ok {
				Expect(t.Name).To(Equal(name), key)
			}
		}
	})

	// Guards against a change of rate, burst or priority that does not reach a peer.
	It("carries each field of a tenant", func() {
		was := holds("a", "k")
		for _, change := range []func(*tenant.Tenant){
			func(t *tenant.Tenant) { t.Rate = 2 }, func(t *tenant.Tenant) { t.Burst = 2 },
			func(t *tenant.Tenant) { t.HasPriority = true }, func(t *tenant.Tenant) { t.Priority, t.HasPriority = 3, true },
		} {
			is := was
			change(&is)
			config := patched(&catalog.Config{Version: 1, HasTenants: true, Tenants: []tenant.Tenant{was}},
				&catalog.Config{Version: 2, HasTenants: true, Tenants: []tenant.Tenant{is}})
			Expect(config.Tenants).To(Equal([]tenant.Tenant{is}))
		}
	})

	// Guards against an empty list that is taken for none, which would admit every request, and
	// against none that is taken for an empty list, which would refuse every request.
	DescribeTable("tells an empty list from none", func(before, after bool) {
		config := patched(&catalog.Config{Version: 1, HasTenants: before}, &catalog.Config{Version: 2, HasTenants: after})
		_, ok := config.Identify(route, tenant.Credential{})
		Expect(ok).To(Equal(!after))
	}, Entry("none to empty", false, true), Entry("empty to none", true, false), Entry("empty", true, true))

	// Guards against a key in what hosts exchange.
	It("contains no key", func() {
		data, err := cbor.Marshal(catalog.Config{Version: 1, HasTenants: true, Tenants: []tenant.Tenant{holds("a", "secret-key")}})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).NotTo(ContainSubstring("secret-key"))
		text, err := json.Marshal(holds("a", "secret-key"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text) + fmt.Sprintf("%+v", holds("a", "secret-key"))).NotTo(ContainSubstring("secret-key"))
	})
})

// BenchmarkTenants100000 measures how long a host takes to apply a configuration of 100,000
// tenants with two keys each that differs in one tenant, and what it allocates.
func BenchmarkTenants100000(b *testing.B) {
	tenants := make([]tenant.Tenant, 100_000)
	for i := range tenants {
		tenants[i] = tenant.Tenant{Name: fmt.Sprint("tenant-", i), Rate: 10, Burst: 20,
			Keys: []tenant.KeyDigest{tenant.Digest(fmt.Sprint("k", i)), tenant.Digest(fmt.Sprint("l", i))}}
	}
	c, version := catalog.New(), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		version++
		tenants[0].Rate = float64(version)
		config := &catalog.Config{Version: version, HasTenants: true, Tenants: append([]tenant.Tenant(nil), tenants...)}
		if err := c.ApplyChanges(time.Unix(1000, 0), version, []catalog.Item{{Kind: catalog.KindConfig, Revision: version, Config: config}}); err != nil {
			b.Fatal(err)
		}
	}
}

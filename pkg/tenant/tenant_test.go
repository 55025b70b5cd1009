package tenant_test

import (
	"fmt"
	"testing"

	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTenant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Tenant")
}

func keys(names ...string) (out []tenant.KeyDigest) {
	for _, n := range names {
		out = append(out, tenant.Digest(n))
	}
	return out
}

var _ = Describe("Directory", func() {
	// Guards against a key that identifies another tenant than the one that holds it.
	It("finds each tenant by each of its keys", func() {
		var tenants []tenant.Tenant
		for i := range 500 {
			tenants = append(tenants, tenant.Tenant{Name: fmt.Sprint("t", i), Keys: keys(fmt.Sprint("k", i), fmt.Sprint("l", i))})
		}
		d := tenant.NewDirectory(tenants)
		for i := range 500 {
			Expect(d.Lookup(tenant.Digest(fmt.Sprint("k", i))).Name).To(Equal(fmt.Sprint("t", i)))
			Expect(d.Lookup(tenant.Digest(fmt.Sprint("l", i))).Name).To(Equal(fmt.Sprint("t", i)))
		}
		Expect(d.Lookup(tenant.Digest(""))).To(BeNil())
		Expect(tenant.NewDirectory(nil).Lookup(tenant.Digest("k"))).To(BeNil())
	})

	// Guards against hosts that disagree on a key of two tenants, as after a patch that
	// orders tenants in another way than the document.
	It("finds the same tenant for a shared key in any order", func() {
		a, b := tenant.Tenant{Name: "a", Keys: keys("k")}, tenant.Tenant{Name: "b", Keys: keys("k")}
		for _, order := range [][]tenant.Tenant{{a, b}, {b, a}} {
			Expect(tenant.NewDirectory(order).Lookup(tenant.Digest("k")).Name).To(Equal("a"))
		}
	})
})

// Guards against requests without a known key on routes that need one.
var _ = DescribeTable("Identify", func(anonymous bool, c tenant.Credential, name string, admitted bool) {
	d := tenant.NewDirectory([]tenant.Tenant{{Name: "a", Keys: keys("k")}})
	t, ok := tenant.Identify(d, anonymous, c)
	Expect(ok).To(Equal(admitted))
	if name == "" {
		Expect(t).To(BeNil())
	} else {
		Expect(t.Name).To(Equal(name))
	}
	t, ok = tenant.Identify(nil, anonymous, c)
	Expect(ok).To(BeTrue(), "no tenants are configured")
	Expect(t).To(BeNil())
	_, ok = tenant.Identify(tenant.NewDirectory(nil), anonymous, c)
	Expect(ok).To(Equal(anonymous), "an empty list of tenants")
},
	Entry("known", false, tenant.Credential{State: tenant.Presented, Digest: tenant.Digest("k")}, "a", true),
	Entry("known, anonymous", true, tenant.Credential{State: tenant.Presented, Digest: tenant.Digest("k")}, "a", true),
	Entry("unknown", false, tenant.Credential{State: tenant.Presented, Digest: tenant.Digest("x")}, "", false),
	Entry("unknown, anonymous", true, tenant.Credential{State: tenant.Presented}, "", true),
	Entry("malformed with a known digest", false, tenant.Credential{State: tenant.Malformed, Digest: tenant.Digest("k")}, "", false),
	Entry("absent", false, tenant.Credential{}, "", false),
	Entry("absent, anonymous", true, tenant.Credential{}, "", true),
)

func manyTenants() []tenant.Tenant {
	tenants := make([]tenant.Tenant, 100_000)
	for i := range tenants {
		tenants[i] = tenant.Tenant{Name: fmt.Sprint("tenant-", i), Keys: keys(fmt.Sprint("k", i), fmt.Sprint("l", i)), Rate: 10, Burst: 20}
	}
	return tenants
}

func BenchmarkNewDirectory100000(b *testing.B) {
	tenants := manyTenants()
	b.ReportAllocs()
	for b.Loop() {
		tenant.NewDirectory(tenants)
	}
}

func BenchmarkIdentify(b *testing.B) {
	d := tenant.NewDirectory(manyTenants())
	b.ReportAllocs()
	for b.Loop() {
		_, _ = tenant.Identify(d, false, tenant.Credential{State: tenant.Presented, Digest: tenant.Digest("k5000")})
	}
}

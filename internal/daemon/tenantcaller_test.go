package daemon

import (
	"encoding/hex"
	"strings"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// tenantTree returns a configuration with a list of tenants, "" for none. DIGEST-KEY stands for
// the digest of a key.
func tenantTree(tenants string) *settings.Tree {
	for _, key := range []string{"k1", "k2"} {
		d := tenant.Digest(key)
		tenants = strings.ReplaceAll(tenants, "DIGEST-"+key, hex.EncodeToString(d[:]))
	}
	document := strings.ReplaceAll(scriptedDocument, "%[1]s", "127.0.0.1:1")
	if tenants != "" {
		document = strings.Replace(document, `"version": 1,`, `"version": 1, "tenants": `+tenants+`,`, 1)
	}
	tree, err := settings.Parse([]byte(document))
	Expect(err).NotTo(HaveOccurred())
	return tree
}

var _ = Describe("caller", func() {
	const annaWith = `[{"name":"anna","key_digests":["DIGEST-k1"]}]`

	// Guards against a request whose key is withdrawn, or moves to another tenant, between two
	// sends and that is still sent, and against one that is refused because tenants appear, go
	// or get further keys while it runs.
	DescribeTable("may still send after a change of the configuration", func(before, after string, want bool) {
		c := newConfig(&settings.Process{}, hclog.NewNullLogger())
		e := &entry{config: c}
		c.current.Store(tenantTree(before))
		from, ok := e.identify(c.tree(), "s", tenant.Credential{State: tenant.Presented, Digest: tenant.Digest("k1")})
		Expect(ok).To(BeTrue())
		Expect(from.mayStillSend()).To(BeTrue())
		c.current.Store(tenantTree(after))
		Expect(from.mayStillSend()).To(Equal(want))
	},
		Entry("same key", annaWith, annaWith, true),
		Entry("second key", annaWith, `[{"name":"anna","key_digests":["DIGEST-k2","DIGEST-k1"]}]`, true),
		Entry("key withdrawn", annaWith, `[{"name":"anna","key_digests":["DIGEST-k2"]}]`, false),
		Entry("tenant removed", annaWith, `[]`, false),
		Entry("key of another tenant", annaWith, `[{"name":"ben","key_digests":["DIGEST-k1"]}]`, false),
		Entry("tenants appear", "", `[]`, true),
		Entry("tenants go", annaWith, "", true),
	)

	// Guards against a tenant that gets a higher class than its own by a header.
	DescribeTable("has the class of its tenant at most", func(header string, want settings.Priority) {
		meta := api.Meta{}
		if header != "" {
			meta.HasPriority = true
			meta.Priority, _ = settings.ParsePriority(header)
		}
		from := &caller{tenant: &tenant.Tenant{Priority: int(settings.Interactive), HasPriority: true}}
		from.applyPriority(&meta)
		Expect(class(meta, &settings.Policy{Priority: settings.Critical})).To(Equal(want))
	},
		Entry("no header", "", settings.Interactive),
		Entry("higher", "critical", settings.Interactive),
		Entry("lower", "batch", settings.Batch),
	)
})

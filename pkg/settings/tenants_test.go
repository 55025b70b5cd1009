package settings_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

func digestOf(key string) string {
	d := tenant.Digest(key)
	return hex.EncodeToString(d[:])
}

// withTenants returns a valid document with a list of tenants, as JSON text.
func withTenants(tenants string) []byte {
	return []byte(strings.Replace(document("place", "", "", ""), `"version": 1`, `"version": 1, "tenants": `+tenants, 1))
}

func presented(key string) tenant.Credential {
	return tenant.Credential{State: tenant.Presented, Digest: tenant.Digest(key)}
}

var _ = Describe("Tenants", func() {
	const plain = "plainkey"

	// Guards against a faulty list that is applied in part, and against a key in the text of
	// a refusal, which goes to logs and to the status.
	DescribeTable("are refused with the path of the fault and without a key",
		func(tenants, problem string) {
			tenants = strings.NewReplacer("A1", digestOf("a"), "B1", digestOf("b"), "EMPTY", digestOf("")).Replace(tenants)
			_, err := settings.Parse(withTenants(tenants))
			Expect(err).To(MatchError(ContainSubstring(problem)))
			Expect(err.Error()).NotTo(ContainSubstring(plain))
		},
		Entry("duplicate name", `[{"name":"a"},{"name":"a"}]`, `tenants[1].name: "a" is also the name of tenants[0]`),
		Entry("duplicate key", `[{"name":"a","key_digests":["A1"]},{"name":"b","key_digests":["B1","A1"]}]`, "tenants[1].key_digests[1]: is also the digest tenants[0].key_digests[0]"),
		Entry("empty key", `[{"name":"a","key_digests":["EMPTY"]}]`, "tenants[0].key_digests[0]: is the digest of an empty key"),
		Entry("key in place of a digest", `[{"name":"a","key_digests":["plainkey"]}]`, "tenants[0].key_digests[0]: is not a SHA-256 digest"),
		Entry("plain keys", `[{"name":"a","keys":["plainkey"]}]`, "tenants[0].keys: a published document may not contain keys"),
		Entry("a key in place of the list", `[{"name":"a","key_digests":"plainkey"}]`, "tenants[0].key_digests"),
		Entry("negative rate", `[{"name":"a","rate_per_s":-1}]`, "tenants[0].rate_per_s: -1 is below 0"),
		Entry("burst below one", `[{"name":"a","rate_per_s":5,"burst":0.5}]`, "tenants[0].burst: 0.5 is below 1"),
		Entry("rate without a burst", `[{"name":"a","rate_per_s":5}]`, "tenants[0].burst: 0 is below 1"),
		Entry("unknown priority", `[{"name":"a","priority":"urgent"}]`, "tenants[0].priority"),
		Entry("unknown field", `[{"name":"a","rate":5}]`, "tenants[0].rate: unknown field"),
		Entry("no name", `[{"key_digests":[]}]`, "tenants[0].name: is missing"),
	)

	// Guards against an empty list that is taken for a document without tenants, which would
	// admit everybody once the last tenant is removed.
	It("differ between an empty list and none", func() {
		open, err := settings.Parse([]byte(document("place", "", "", "")))
		Expect(err).NotTo(HaveOccurred())
		_, ok := open.Identify("tags", tenant.Credential{})
		Expect(ok).To(BeTrue())
		closed, err := settings.Parse(withTenants(`[]`))
		Expect(err).NotTo(HaveOccurred())
		_, ok = closed.Identify("tags", presented("a"))
		Expect(ok).To(BeFalse())
	})

	// Guards against a key of a host's settings that takes a tenant's key over, or that makes
	// a tenant which the document does not have.
	It("get the keys of a host's settings beside their own", func() {
		tree, err := settings.Parse(withTenants(`[{"name":"a","key_digests":["` + digestOf("a") + `"]},{"name":"b"}]`))
		Expect(err).NotTo(HaveOccurred())
		keys, err := settings.ParseKeys("# second keys\nb:b2\nb:a\n\nc:c1\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.AddKeys(keys)).To(HaveLen(2))
		for key, want := range map[string]string{"a": "a", "b2": "b", "c1": ""} {
			name := ""
			if t, _ := tree.Identify("tags", presented(key)); t != nil {
				name = t.Name
			}
			Expect(name).To(Equal(want), key)
		}
	})

	// Guards against keys that a host does not read, and against a host that starts without
	// the keys that its settings name.
	It("get keys from a file and the environment", func() {
		dir := GinkgoT().TempDir()
		keys, file := filepath.Join(dir, "keys"), filepath.Join(dir, "host.json")
		text := `{"name": "a", "place": "north", "ordinal": 0, "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:1", "operators": "127.0.0.1:2"},
			"platform": {"config_url": "http://x/c", "hosts_url": "http://x/h"}, "tls": {"cert_file": "c", "key_file": "k", "ca_file": "a"},
			"tenant_keys": {"file": "` + keys + `", "env": "LACEWINGYARD_TEST_KEYS"}}`
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		_, err := settings.LoadProcess(file)
		Expect(err).To(MatchError(ContainSubstring("tenant_keys.file")))
		Expect(os.WriteFile(keys, []byte("a:k1\n"), 0o600)).To(Succeed())
		_, err = settings.LoadProcess(file)
		Expect(err).To(MatchError(ContainSubstring("tenant_keys.env: the environment variable LACEWINGYARD_TEST_KEYS is not set")))
		GinkgoT().Setenv("LACEWINGYARD_TEST_KEYS", "b:k2")
		p, err := settings.LoadProcess(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.LocalKeys).To(Equal([]settings.LocalKey{{Tenant: "a", Digest: tenant.Digest("k1")}, {Tenant: "b", Digest: tenant.Digest("k2")}}))
	})

	// Guards against a faulty line that is passed over, and against a key in its error.
	DescribeTable("refuse faulty lines of keys",
		func(lines, problem string) {
			_, err := settings.ParseKeys(lines)
			Expect(err).To(MatchError(ContainSubstring(problem)))
			Expect(err.Error()).NotTo(ContainSubstring(plain))
		},
		Entry("no name", "plainkey", "line 1: is not of the form name:key"),
		Entry("empty name", "a:x\n:plainkey", "line 2: is not of the form name:key"),
		Entry("empty key", "a:", "line 1: the key of tenant a must have 1 to"),
		Entry("space in a key", "a:plainkey plainkey", "line 1: the key of tenant a must have"),
		Entry("duplicate key", "a:plainkey\nb:plainkey", "line 2: the key of tenant b is also a key of tenant a"),
	)
})

package tenant_test

import (
	"strings"
	"testing"

	"github.com/lacewingyard/lacewingyard/pkg/tenant"
	. "github.com/onsi/gomega"
)

// Guards against a header that is read as another key than the caller sent, or against two
// readings of several headers.
func TestParseBearerTakesOneKeyOnly(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("k", 10000)
	for _, c := range []struct {
		values []string
		state  tenant.CredentialState
		key    string
	}{
		{nil, tenant.Absent, ""},
		{[]string{"Bearer k"}, tenant.Presented, "k"},
		{[]string{"bEARER  k "}, tenant.Presented, "k"},
		{[]string{"Bearer " + long}, tenant.Presented, long},
		{[]string{""}, tenant.Malformed, ""},
		{[]string{"Bearer"}, tenant.Malformed, ""},
		{[]string{"Bearer "}, tenant.Malformed, ""},
		{[]string{"Basic k"}, tenant.Malformed, ""},
		{[]string{"Bearer k, Bearer l"}, tenant.Malformed, ""},
		{[]string{"Bearer k l"}, tenant.Malformed, ""},
		{[]string{"Bearer k", "Bearer k"}, tenant.Malformed, ""},
	} {
		got := tenant.ParseBearer(c.values)
		g.Expect(got.State).To(Equal(c.state), "%.40q", c.values)
		if c.state == tenant.Presented {
			g.Expect(got.Digest).To(Equal(tenant.Digest(c.key)), "%.40q", c.values)
		}
	}
}

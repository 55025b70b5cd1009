package soak

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a check of logs that misses the keys that callers present.
func TestKeysInTheOutputOfHostsAreFound(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	book := newTenantBook()
	for tenant := range initialTenants {
		for range 200 {
			values, key := book.credentials(rng, tenant)
			if key == "" {
				continue
			}
			count, first := linesWithKeys(strings.NewReader("{\"message\":\"other\"}\n{\"authorization\":\"" + values[0] + "\"}\n"))
			g.Expect(count).To(Equal(1))
			g.Expect(first).To(ContainSubstring(key))
		}
	}
	count, _ := linesWithKeys(strings.NewReader("{\"tenant\":\"alder\"}"))
	g.Expect(count).To(BeZero())
}

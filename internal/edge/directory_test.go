package edge_test

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// status returns the status of a host, or the zero value if it does not answer.
func (f *fixture) status(h *running) (s edge.Status) {
	resp, err := f.client.Get("http://" + h.Address(h.Ports.Operators) + edge.StatusPath)
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
	return s
}

var _ = Describe("Fleet with little traffic", func() {
	// Guards against callers that are spread over all hosts, each of which opens a
	// connection to each shard for a request now and then.
	It("directs callers of a place to the same two hosts, which connect ahead of requests", func() {
		f := newFixture(8)
		directed := func() (names []string) {
			for _, h := range f.hosts {
				if f.status(h).Directed {
					names = append(names, h.Name)
				}
			}
			return names
		}
		Eventually(directed, 8*time.Second).Should(HaveLen(4))
		var addresses []string
		for _, h := range f.hosts {
			if slices.Contains(directed(), h.Name) {
				addresses = append(addresses, h.Address(h.Ports.Callers))
			}
		}
		for _, h := range f.hosts {
			for _, place := range []string{"p0", "p1"} {
				a, err := platformtest.Resolve(context.Background(), f.client, h.Address(h.Ports.Directory), place)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Addresses).To(HaveLen(3), "two hosts of the place and a spare")
				for _, address := range a.Addresses {
					Expect(addresses).To(ContainElement(address))
				}
			}
		}
		for _, h := range f.hosts {
			if !slices.Contains(directed(), h.Name) {
				continue
			}
			Eventually(func() (connected []string) {
				for _, t := range f.status(h).Targets {
					if t.Connections > 0 && t.Service != platformtest.AtMostOnceService {
						connected = append(connected, t.Service)
					}
				}
				return connected
			}, 5*time.Second).Should(ConsistOf(shards), "one connection to each shard")
		}
	})
})

package edge_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Host that is stopped after requests that run once took a fraction of their limit", func() {
	// callLate sends requests that take 60 ms, and a last one when 1.1 s of its limit of 2 s are left.
	callLate := func(silent bool) platformtest.Reply {
		f := newFixture(1)
		h := f.hosts[0]
		for _, t := range f.targets {
			t.SetServiceTime(60 * time.Millisecond)
		}
		for i := range 50 {
			id := fmt.Sprint("warm", i)
			reply := platformtest.Call(GinkgoT().Context(), f.client, h.Address(h.Ports.Callers), http.MethodPost, platformtest.AtMostOncePrefix+id, id, nil, 2*time.Second)
			Expect(reply.Status).To(Equal(http.StatusOK))
		}
		c, first := newRawCaller(h), newRawCaller(h)
		h.stop()
		if silent {
			for _, t := range f.targets {
				t.SetServiceTime(5 * time.Second)
			}
			go func() { first.call(http.MethodPost, platformtest.AtMostOncePrefix+"first", "first", 2*time.Second) }()
		}
		time.Sleep(1500 * time.Millisecond)
		return c.call(http.MethodPost, platformtest.AtMostOncePrefix+"late", "late", 2*time.Second)
	}

	// Guards against callers that each host refuses while all stop, although any could answer.
	It("serves what ends in time", func() {
		reply := callLate(false)
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusOK))
	})

	// Guards against requests that are passed on to targets that have just turned silent.
	It("refuses them while one is open for longer", func() {
		reply := callLate(true)
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.NotRun()).To(BeTrue(), "status %d", reply.Status)
	})
})

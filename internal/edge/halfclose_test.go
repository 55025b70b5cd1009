package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Caller that ends its side of the connection and reads on", func() {
	// Guards against an empty success, or no answer, for a request that the host gives up.
	DescribeTable("gets a failure", func(method, prefix string) {
		f := newFixture(1)
		for _, t := range f.targets {
			t.SetServiceTime(500 * time.Millisecond)
		}
		c := newRawCaller(f.hosts[0])
		id := fmt.Sprintf("left%06d", f.next.Add(1))
		req, err := platformtest.NewRequest(context.Background(), c.c.RemoteAddr().String(), method, prefix+id, id, nil, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(req.Write(c.c)).To(Succeed())
		Eventually(func() int { return f.runs(id) }, time.Second).Should(BeNumerically(">", 0))
		Expect(c.c.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(c.c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		answer, err := io.ReadAll(c.br)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 502 "), "it may have run")
	},
		Entry("to a fan-out", http.MethodGet, platformtest.SearchPrefix),
		Entry("to a request that may run once", http.MethodPost, platformtest.AtMostOncePrefix),
	)
})

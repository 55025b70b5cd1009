package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func getHead(uri, id string) string {
	return "GET " + uri + " HTTP/1.1\r\nHost: " + platformtest.HostName + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\n\r\n"
}

// The hosts of the fixture have a grace period of 3 s: they close their listeners 1.73 s after
// the signal, answer what is open after 2.6 s and cut connections after 2.8 s.
var _ = Describe("Request that reaches a stopping host", func() {
	var f *fixture
	var h *running
	BeforeEach(func() {
		f = newFixture(1)
		h = f.hosts[0]
	})
	dial := func() *rawCaller {
		c := newRawCaller(h)
		DeferCleanup(c.c.Close)
		_ = c.c.SetDeadline(time.Now().Add(8 * time.Second))
		return c
	}
	answer := func(c *rawCaller) string {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return err.Error()
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return fmt.Sprintf("%d, cut after %d: %v", resp.StatusCode, len(body), err)
		}
		return fmt.Sprintf("%d close=%v", resp.StatusCode, resp.Close)
	}
	at := func(began time.Time, d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	answered := Or(HavePrefix("200 close"), HavePrefix("502 close"), HavePrefix("503 close"))

	It("is answered on a connection that was opened before the listener closed", func() {
		began := time.Now()
		h.stop()
		at(began, 1600*time.Millisecond)
		c := dial()
		at(began, 1900*time.Millisecond)
		_, err := io.WriteString(c.c, getHead(platformtest.SearchPrefix+"fresh1", "fresh1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(c)).To(answered)
	})

	It("is answered if its head arrives around the close of the listener", func() {
		began := time.Now()
		h.stop()
		at(began, 1600*time.Millisecond)
		c := dial()
		head := getHead(platformtest.SearchPrefix+"fresh2", "fresh2")
		_, _ = io.WriteString(c.c, head[:20])
		at(began, 1900*time.Millisecond)
		_, _ = io.WriteString(c.c, head[20:])
		Expect(answer(c)).To(answered)
	})

	DescribeTable("is answered if its body arrives slowly", func(end time.Duration) {
		began := time.Now()
		h.stop()
		at(began, 1600*time.Millisecond)
		c := dial()
		_, _ = io.WriteString(c.c, platformtest.PostHead(platformtest.AtMostOncePrefix+"body", "body", 2*time.Second, 10)+"01234")
		at(began, end)
		_, _ = io.WriteString(c.c, "56789")
		Expect(answer(c)).To(answered)
	}, Entry("until 1.9 s", 1900*time.Millisecond), Entry("until 2.65 s", 2650*time.Millisecond))

	It("is answered if its caller waits for 100 Continue", func() {
		began := time.Now()
		h.stop()
		at(began, 1600*time.Millisecond)
		c := dial()
		head := platformtest.PostHead(platformtest.AtMostOncePrefix+"expect", "expect", 2*time.Second, 10)
		_, _ = io.WriteString(c.c, strings.TrimSuffix(head, "\r\n")+"Expect: 100-continue\r\n\r\n")
		Expect(answer(c)).To(HavePrefix("100 "))
		at(began, 1900*time.Millisecond)
		_, _ = io.WriteString(c.c, "0123456789")
		Expect(answer(c)).To(answered)
	})

	It("is answered behind another one on the same connection", func() {
		for _, t := range f.targets {
			t.SetServiceTime(500 * time.Millisecond)
		}
		began := time.Now()
		h.stop()
		at(began, 1500*time.Millisecond)
		c := dial()
		_, _ = io.WriteString(c.c, getHead(platformtest.SearchPrefix+"pipe1", "pipe1")+getHead(platformtest.SearchPrefix+"pipe2", "pipe2"))
		first := answer(c)
		Expect(first).To(HavePrefix("200"))
		if !strings.HasSuffix(first, "close=true") {
			Expect(answer(c)).To(answered)
		}
		GinkgoWriter.Println("first:", first)
	})

	It("and whose caller ends its side then is answered", func() {
		for _, t := range f.targets {
			t.SetServiceTime(500 * time.Millisecond)
		}
		began := time.Now()
		h.stop()
		at(began, 1500*time.Millisecond)
		c := dial()
		_, _ = io.WriteString(c.c, getHead(platformtest.SearchPrefix+"half", "half"))
		at(began, 1800*time.Millisecond)
		Expect(c.c.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(answer(c)).To(answered)
	})

	It("is answered on a kept connection that is in use until the listener closes", func() {
		c := dial()
		began := time.Now()
		h.stop()
		for i := 0; ; i++ {
			id := fmt.Sprint("kept", i)
			_, err := io.WriteString(c.c, getHead(platformtest.SearchPrefix+id, id))
			sent := time.Since(began)
			Expect(err).NotTo(HaveOccurred())
			a := answer(c)
			GinkgoWriter.Println(i, sent, a, f.runs(id))
			Expect(a).To(answered, "sent after %v, runs %d", sent, f.runs(id))
			if strings.HasSuffix(a, "close=true") {
				break
			}
		}
	})

})

package soak_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/internal/soak"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a proxy that injects nothing, so that the soak test passes whatever the
// hosts do.
var _ = Describe("Proxy", func() {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

	// read sends a request through a proxy in a mode and returns what arrives within a time
	// or up to a number of bytes, whichever comes first.
	read := func(mode soak.LinkMode, within time.Duration, atMost int64) []byte {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, answer)
					}
				}()
			}
		}()
		p, err := soak.NewProxy(l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		p.SetMode(mode)
		c, err := net.Dial("tcp", p.Address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		var got bytes.Buffer
		_, _ = io.Copy(&got, io.LimitReader(c, atMost)) // an error ends the read as well
		return got.Bytes()
	}

	It("forwards answers, or changes them by its mode", func() {
		const within, atMost = 300 * time.Millisecond, 1 << 20
		Expect(read(soak.Healthy, within, atMost)).To(BeEquivalentTo(answer))
		Expect(read(soak.EndlessHead, 5*time.Second, atMost)).To(HaveLen(atMost))
		Expect(read(soak.EndlessBody, 5*time.Second, atMost)).To(HaveLen(atMost))
		Expect(read(soak.LateCopy, within, atMost)).To(BeEquivalentTo(answer + answer))
		Expect(len(read(soak.CutOff, within, atMost))).To(BeNumerically("<", len(answer)))
		Expect(len(read(soak.Trickle, within, atMost))).To(BeNumerically("<", 4))
		Expect(read(soak.OneWay, within, atMost)).To(BeEmpty())
		malformed := read(soak.Malformed, within, atMost)
		Expect(malformed).To(ContainSubstring("hello"))
		_, err := httpanswer.NewReader(bytes.NewReader(malformed), 4096).ReadAnswer(&http.Request{})
		Expect(errors.Is(err, httpanswer.ErrMalformed)).To(BeTrue(), "%v", err)
	})

	It("lets connections time out while it accepts none, and accepts them again", func() {
		p, err := soak.NewProxy("127.0.0.1:1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		const dialTimeout = 300 * time.Millisecond
		resume := p.SuspendAccept()
		var timeout net.Error
		_, err = net.DialTimeout("tcp", p.Address, dialTimeout)
		Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "%v", err)
		resume()
		Eventually(func() error {
			c, err := net.DialTimeout("tcp", p.Address, dialTimeout)
			if err == nil {
				_ = c.Close()
			}
			return err
		}, 5*time.Second).Should(Succeed())
	})
})

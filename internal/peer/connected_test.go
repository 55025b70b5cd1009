package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/standin"
)

var _ = Describe("Connected", func() {
	// Guards against a connection that is reported as open before its handshake, and
	// against a connection that is never dialed because no stream needs it.
	It("starts a dial and reports when the connection is open", func() {
		authority, err := standin.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		conf, err := authority.TLSConfig("host")
		Expect(err).NotTo(HaveOccurred())
		_, address := listen(conf)
		client, _ := listen(conf)
		Expect(client.Connected(address)).To(BeFalse())
		Eventually(func() bool { return client.Connected(address) }, 5*time.Second).Should(BeTrue())
		Consistently(func() bool { return client.Connected("127.0.0.1:1") }, 200*time.Millisecond).Should(BeFalse())
	})
})

package peer_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// echo answers a search request with a final reply.
func echo(_ context.Context, _ wire.Exchange, s *peer.Stream) {
	var req wire.SearchRequest
	if err := s.Receive(&req); err == nil {
		_ = s.Send(&wire.SearchReply{Final: true})
	}
}

func listen(conf *tls.Config) (*peer.Transport, string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t, err := peer.Listen(conn, conf, echo)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close)
	return t, conn.LocalAddr().String()
}

// listenWithFiles listens with credentials that are read from files.
func listenWithFiles(authority *standin.Authority) (dir string, files settings.TLSFiles, creds *peer.Credentials, address string) {
	dir = GinkgoT().TempDir()
	files, err := authority.WriteFiles(dir, "host")
	Expect(err).NotTo(HaveOccurred())
	creds, err = peer.LoadCredentials(files)
	Expect(err).NotTo(HaveOccurred())
	_, address = listen(creds.TLSConfig())
	return dir, files, creds, address
}

func exchange(from *peer.Transport, to string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s, err := from.Open(ctx, to, wire.ExchangeSearch)
	if err != nil {
		return err
	}
	defer s.Reset()
	if err := s.Send(&wire.SearchRequest{QueryID: "q"}); err != nil {
		return err
	}
	return s.Receive(&wire.SearchReply{})
}

var _ = Describe("Transport", func() {
	var authority *standin.Authority
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
		var err error
		authority, err = standin.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a process that connects as a host with a certificate of another
	// authority, or without a certificate.
	It("refuses and counts handshakes without a certificate of the authority", func() {
		_, _, creds, address := listenWithFiles(authority)
		otherAuthority, err := standin.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		conf, err := otherAuthority.TLSConfig("stranger")
		Expect(err).NotTo(HaveOccurred())
		conf.VerifyConnection = nil // the client accepts any host
		untrusted, _ := listen(conf)
		Expect(exchange(untrusted, address)).NotTo(Succeed())
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
		anonymous, _ := listen(conf)
		Expect(exchange(anonymous, address)).NotTo(Succeed())
		Eventually(creds.RefusedHandshakes).Should(Equal(int64(2)))
	})

	// Guards against certificates that can only be replaced by a restart, and
	// against an invalid file that replaces working credentials.
	It("uses replaced key files without a restart", func() {
		dir, files, creds, address := listenWithFiles(authority)
		newAuthority, err := standin.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		conf, err := newAuthority.TLSConfig("other")
		Expect(err).NotTo(HaveOccurred())
		newClient, _ := listen(conf)
		Expect(exchange(newClient, address)).NotTo(Succeed())

		Expect(os.WriteFile(files.CAFile, []byte("broken"), 0o600)).To(Succeed())
		touch(files.CAFile)
		_, err = creds.Reload()
		Expect(err).To(MatchError(ContainSubstring("no certificate found")))
		oldConf, err := authority.TLSConfig("old")
		Expect(err).NotTo(HaveOccurred())
		oldClient, _ := listen(oldConf)
		Expect(exchange(oldClient, address)).To(Succeed())

		_, err = newAuthority.WriteFiles(dir, "host")
		Expect(err).NotTo(HaveOccurred())
		touch(files.CAFile)
		Expect(creds.Reload()).To(BeTrue())
		Expect(exchange(newClient, address)).To(Succeed())
	})

	// Guards against queries that wait on a connection to a process that no longer
	// exists, and against a peer that stays reported as lost after its replacement.
	It("opens a new connection after the peer was replaced", func() {
		conf, err := authority.TLSConfig("a")
		Expect(err).NotTo(HaveOccurred())
		client, _ := listen(conf)
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := conn.LocalAddr().String()
		first, err := peer.Listen(conn, conf, echo)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Lost(address)).To(BeFalse(), "never connected")
		Expect(exchange(client, address)).To(Succeed())
		Expect(client.Lost(address)).To(BeFalse())
		Expect(first.Close()).To(Succeed())
		Eventually(func() bool { return client.Lost(address) }, "3s", "10ms").Should(BeTrue())
		Consistently(func() bool { return client.Lost(address) }, "200ms", "10ms").Should(BeTrue(), "while a new dial fails")

		conn, err = net.ListenPacket("udp", address)
		Expect(err).NotTo(HaveOccurred())
		second, err := peer.Listen(conn, conf, echo)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Close)
		Eventually(func() bool { return client.Lost(address) }, "3s", "50ms").Should(BeFalse())
		Eventually(func() error { return exchange(client, address) }, "3s", "50ms").Should(Succeed())
	})

	// Guards against a sender that waits for idleTimeout, and sends more meanwhile, because the
	// host that it sent to stopped.
	It("tells its peers that it closes", func(ctx context.Context) {
		conf, err := authority.TLSConfig("host")
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err := peer.Listen(conn, conf, echo)
		Expect(err).NotTo(HaveOccurred())
		address := conn.LocalAddr().String()
		client, _ := listen(conf)
		Expect(exchange(client, address)).To(Succeed())
		s, err := client.Open(ctx, address, wire.ExchangeSearch)
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() { ended <- s.Receive(&wire.SearchReply{}) }()
		Expect(server.Close()).To(Succeed())
		Eventually(ended).WithTimeout(500 * time.Millisecond).Should(Receive(HaveOccurred()))
		Expect(client.Lost(address)).To(BeTrue())
	}, NodeTimeout(10*time.Second))

	// Guards against a dial that starts while Close waits for earlier dials, which the
	// race detector reports as a race on the wait group.
	It("starts no dial after Close", func(ctx context.Context) {
		conf, err := authority.TLSConfig("a")
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			client, err := peer.Listen(conn, conf, echo)
			Expect(err).NotTo(HaveOccurred())
			var openers sync.WaitGroup
			started := make(chan struct{}, 8)
			for range cap(started) {
				openers.Go(func() {
					defer GinkgoRecover()
					started <- struct{}{}
					Eventually(func() error {
						_, err := client.Open(ctx, "127.0.0.1:0", wire.ExchangeSearch)
						return err
					}).WithPolling(time.Microsecond).Should(MatchError(net.ErrClosed))
				})
			}
			<-started
			Expect(client.Close()).To(Succeed())
			openers.Wait()
		}
	}, NodeTimeout(10*time.Second))
})

// touch advances a file's modification time, which a rewrite within the resolution of
// the file system's clock may leave unchanged.
func touch(file string) {
	later := time.Now().Add(time.Minute)
	Expect(os.Chtimes(filepath.Clean(file), later, later)).To(Succeed())
}

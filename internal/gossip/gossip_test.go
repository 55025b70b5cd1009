package gossip_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gossip")
}

func start(name, ip, seed string, port uint16, crashes []quarantine.Crash, told chan []quarantine.Crash) *gossip.Gossip {
	address := net.JoinHostPort(ip, "17946")
	g, err := gossip.New(gossip.Options{
		Address: address, Port: port, Seeds: []string{seed}, Log: hclog.NewNullLogger(), OnNews: func(roster.State) {},
		Self:    func() roster.State { return roster.State{Name: name, Incarnation: 1, Place: "p", Gossip: address} },
		Crashes: func() []quarantine.Crash { return crashes }, OnCrashes: func(c []quarantine.Crash) {
			select {
			case told <- c:
			default:
			}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go g.Run(ctx)
	return g
}

var _ = Describe("Gossip", func() {
	It("finds hosts through a seed, tells crashes, and survives datagrams that it cannot read", func() {
		told := make(chan []quarantine.Crash, 1)
		a := start("a", "127.0.3.1", "127.0.3.1:1", 17946, nil, told)
		start("b", "127.0.3.2", "127.0.3.1:1", 17946, []quarantine.Crash{{Fingerprint: 7}}, nil)
		start("c", "127.0.3.3", "127.0.3.1:1", 17946, nil, nil)
		alive := func() (n int) {
			a.With(func(r *roster.Roster) { n = len(r.Alive(time.Now())) })
			return n
		}
		Eventually(alive, 5*time.Second).Should(Equal(2))
		Eventually(told, 5*time.Second).Should(Receive(Equal([]quarantine.Crash{{Fingerprint: 7}})))
		c, err := net.Dial("udp", "127.0.3.1:17946")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		for _, text := range []string{"", "\xff\xff", strings.Repeat("x", 9000)} {
			_, err := c.Write([]byte(text))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(a.Bad, 5*time.Second).Should(BeNumerically(">=", 2))
		Expect(alive()).To(Equal(2))
	})

	It("hands the whole state on, and refuses one that is not whole", func() {
		book := catalog.NewBook()
		book.Changes(time.Now(), 5, []catalog.Item{
			{Kind: catalog.KindConfig, Config: &catalog.Config{Version: 3, Routes: []catalog.Route{{Name: "r", Hostname: "h", Prefix: "/"}}}},
			{Kind: catalog.KindTarget, Name: "t", Target: &catalog.Target{ID: "t", Service: "s", Cold: time.Minute, SeenAt: time.Now()}},
		})
		server := httptest.NewServer(gossip.StateHandler(func() (*catalog.View, time.Duration) { return book.View(), time.Second }))
		DeferCleanup(server.Close)
		view, age, err := gossip.NewPuller().Pull(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(age).To(Equal(time.Second))
		mine := catalog.NewBook()
		Expect(mine.Adopt(time.Now(), view)).To(BeTrue())
		Expect(mine.View().Config.Route("h", "/x").Name).To(Equal("r"))
		Expect(mine.View().Usable("s")[0].ColdAt(time.Now().Add(30 * time.Second))).To(BeTrue())
		Expect(mine.View().Usable("s")[0].ColdAt(time.Now().Add(2 * time.Minute))).To(BeFalse())

		empty := httptest.NewServer(gossip.StateHandler(func() (*catalog.View, time.Duration) { return nil, 0 }))
		DeferCleanup(empty.Close)
		_, _, err = gossip.NewPuller().Pull(context.Background(), strings.TrimPrefix(empty.URL, "http://"))
		Expect(err).To(MatchError(ContainSubstring("503")))
	})
})

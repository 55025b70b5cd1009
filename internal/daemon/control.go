package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	exchangeTimeout = time.Second // for one heartbeat or pull, including the dial
	pushFanout      = 4           // peers that get a heartbeat at once after a change of a document
)

// control runs the control plane of a host. It reads the documents that the
// platform publishes, exchanges them with peers and maintains the membership view.
type control struct {
	self      *settings.Process
	log       hclog.Logger
	config    *config
	directory *directory
	transport *peer.Transport
	clients   [wire.PublishedCount]*platform.Client
	watching  [wire.PublishedCount]atomic.Bool
	joined    chan struct{} // closed when this host may serve callers

	// buildExtension returns encoded quarantine entries for the next heartbeat, at most
	// room bytes; handleExtension imports the entries of a peer. Set before run.
	buildExtension  func(room int) []byte
	handleExtension func(from membership.Peer, entries []byte)

	wg                sync.WaitGroup
	background        context.Context // the context of run
	pulling           [wire.PublishedCount]atomic.Bool
	lastPlatformCheck atomic.Int64 // time of the last read after a pause, Unix nanoseconds

	mu                 sync.Mutex // guards what follows
	view               *membership.View
	rng                *rand.Rand
	heartbeatsInFlight map[string]bool      // contacts with a heartbeat in progress
	pinned             map[string]time.Time // hosts that must be contacts, by name, and when a rule last needed them
	newestOffered      configsync.Position  // newest position of the configuration that peers reported
	running            bool
	loadSource         func() uint8 // used fraction of the entry capacity, 0 to 255; nil if not known
}

func newControl(self *settings.Process, incarnation uint64, config *config, directory *directory, log hclog.Logger) *control {
	started := time.Now()
	if incarnation == 0 {
		incarnation = uint64(started.UnixNano())
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	identity := membership.Peer{
		Name: self.Name, Address: self.Listen.Peers,
		OrdinalID: membership.OrdinalID{Place: self.Place, Ordinal: self.Ordinal},
	}
	c := &control{
		self: self, log: log, config: config, directory: directory, joined: make(chan struct{}),
		clients: [...]*platform.Client{platform.NewClient(self.Platform.ConfigURL), platform.NewClient(self.Platform.HostsURL)},
		view:    membership.NewView(identity, incarnation, started, rng), rng: rng,
		heartbeatsInFlight: map[string]bool{}, pinned: map[string]time.Time{},
	}
	config.ready, config.confirmed = c.ready, c.confirmed
	config.onInForce = c.setConfigInForce
	config.historyAgreed, config.onHistory = c.historyAgreed, c.setHistoryHash
	directory.onChange = c.setHosts
	return c
}

// run maintains the control plane until the context ends.
func (c *control) run(ctx context.Context) {
	c.mu.Lock()
	c.background, c.running = ctx, true
	c.mu.Unlock()
	for value := range wire.Published(wire.PublishedCount) {
		c.wg.Go(func() { c.watch(ctx, value) })
	}
	c.wg.Go(func() { c.join(ctx) })
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	c.running = false
	c.mu.Unlock()
	c.wg.Wait()
}

// startTask runs f in a goroutine, which run waits for; f does not run unless the
// control plane is running. The caller holds c.mu.
func (c *control) startTask(f func(ctx context.Context)) {
	if c.running {
		c.wg.Go(func() { f(c.background) })
	}
}

// published returns the documents of a published value.
func (c *control) published(value wire.Published) *published {
	if value == wire.PublishedConfig {
		return &c.config.published
	}
	return &c.directory.published
}

// positions returns the positions of the newest documents that this host holds.
func (c *control) positions() wire.Positions {
	return wire.Positions{c.config.position(), c.directory.position()}
}

// tick sends the heartbeats that are due, and detects a pause of the process.
func (c *control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Pin(c.pinnedContacts())
	due, paused := c.view.Tick(time.Now())
	if paused {
		c.log.Warn("the process was paused; no new work until a peer or the platform has confirmed its state")
		c.startTask(c.checkPlatform)
	}
	for _, p := range due {
		c.sendHeartbeat(p)
	}
}

// ready reports whether this host may start work now.
func (c *control) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Ready(time.Now())
}

// confirmed reports whether the state of this host is fully confirmed.
func (c *control) confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Confirmed(time.Now())
}

// announceLeave sends the contacts a heartbeat that reports the shutdown of this
// host, without waiting for their answers.
func (c *control) announceLeave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.AnnounceLeave()
	for _, p := range c.view.Contacts() {
		c.startTask(func(ctx context.Context) { c.exchange(ctx, p) })
	}
}

// announceStop sends the contacts a heartbeat that reports that this process no
// longer uses any target, so that its replacement need not wait for takeover_wait.
func (c *control) announceStop() {
	c.mu.Lock()
	announced := c.view.AnnounceStop(time.Now())
	contacts, ctx := c.view.Contacts(), c.background
	c.mu.Unlock()
	if !announced {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range contacts {
		wg.Go(func() { c.exchange(ctx, p) })
	}
	wg.Wait()
}

// peerState returns the last reported state of a host, and whether the host is
// silent, as membership.View.PeerState defines.
func (c *control) peerState(name string) (state membership.State, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.PeerState(time.Now(), name)
}

// incarnation returns the incarnation of a host's newest process; 0 if unknown.
func (c *control) incarnation(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Incarnation(name)
}

// setLoadSource sets the source of the reported load. Heartbeats of peers may
// already be answered, so the source is set under the lock.
func (c *control) setLoadSource(load func() uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadSource = load
}

// updateLoad sets the load that the next message reports. The caller holds c.mu.
func (c *control) updateLoad() {
	if c.loadSource != nil {
		c.view.SetLoad(c.loadSource())
	}
}

func (c *control) setConfigInForce(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetConfigInForce(time.Now(), version)
}

func (c *control) historyAgreed(historyHash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Agreed(historyHash)
}

func (c *control) setHistoryHash(historyHash uint64, ordinals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetHistoryHash(historyHash, ordinals)
}

func (c *control) setHosts(hosts []platform.Host) {
	peers := make([]membership.Peer, len(hosts))
	for i, h := range hosts {
		peers[i] = membership.Peer{Name: h.Name, Address: h.Peers, OrdinalID: membership.OrdinalID{Place: h.Place, Ordinal: h.Ordinal}}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetPeers(peers)
}

// offer passes a document to its state and, if it is accepted, sends some peers a
// heartbeat at once, which carries the new position.
func (c *control) offer(value wire.Published, raw []byte) {
	accepted, err := c.published(value).offerDocument(raw)
	if err != nil || !accepted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range membership.SamplePeers(c.rng, c.view.Contacts(), c.self.Place, pushFanout) {
		c.startTask(func(ctx context.Context) { c.exchange(ctx, p) })
	}
}

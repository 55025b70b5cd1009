package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	exchangeLimit = time.Second // for one heartbeat or pull
	pushFanout    = 4           // peers told of a change at once
	joinPeers     = 8           // peers that a new host of a large fleet asks
	pinFor        = 10 * time.Second

	// platformCheckPause limits the reads of hosts that are paused again and
	// again: 1,300 of them then cost 650 reads a second.
	platformCheckPause = 2 * time.Second

	joinPoll = 10 * time.Millisecond
	rolePoll = 500 * time.Millisecond
)

// control runs the control plane of a host: it reads what the platform
// publishes, exchanges it with peers and keeps the view of the fleet.
type control struct {
	self      *settings.Process
	log       hclog.Logger
	config    *config
	directory *directory
	transport *peer.Transport
	clients   [wire.PublishedCount]*platform.Client
	watching  [wire.PublishedCount]atomic.Bool
	joined    chan struct{} // closed when this host may serve

	// extend returns entries of other parts for a heartbeat, at most room
	// bytes; extended takes those of a peer. Set before run.
	extend   func(room int) []byte
	extended func(from membership.Peer, entries []byte)

	wg            sync.WaitGroup
	background    context.Context // ends with run
	pulling       [wire.PublishedCount]atomic.Bool
	platformCheck atomic.Int64 // last one after a pause, Unix nanoseconds

	mu      sync.Mutex // guards what follows
	view    *membership.View
	rng     *rand.Rand
	beating map[string]bool      // contacts with a heartbeat in progress
	wanted  map[string]time.Time // contacts that rules asked for, and when last
	newest  configsync.Position  // of the configurations that peers named
	running bool
	load    func() uint8 // of this host as entry, of 255; nil if not known
}

func newControl(self *settings.Process, incarnation uint64, config *config, directory *directory, log hclog.Logger) *control {
	started := time.Now()
	if incarnation == 0 {
		incarnation = uint64(started.UnixNano())
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	me := membership.Peer{
		Name: self.Name, Address: self.Listen.Peers,
		Seat: membership.Seat{Place: self.Place, Ordinal: self.Ordinal},
	}
	c := &control{
		self: self, log: log, config: config, directory: directory, joined: make(chan struct{}),
		clients: [...]*platform.Client{platform.NewClient(self.Platform.ConfigURL), platform.NewClient(self.Platform.HostsURL)},
		view:    membership.NewView(me, incarnation, started, rng), rng: rng,
		beating: map[string]bool{}, wanted: map[string]time.Time{},
	}
	config.ready, config.confirmed = c.ready, c.confirmed
	config.inForce = c.configInForce
	config.agreed, config.trailed = c.agreed, c.trailed
	directory.changed = c.hostsChanged
	return c
}

// run works until the context ends.
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

// start runs f beside the others while the control plane runs. The caller holds
// c.mu.
func (c *control) start(f func(ctx context.Context)) {
	if c.running {
		c.wg.Go(func() { f(c.background) })
	}
}

func (c *control) published(value wire.Published) *published {
	if value == wire.PublishedConfig {
		return &c.config.published
	}
	return &c.directory.published
}

func (c *control) positions() wire.Positions {
	return wire.Positions{c.config.at(), c.directory.at()}
}

func (c *control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Pin(c.pins())
	due, paused := c.view.Tick(time.Now())
	if paused {
		c.log.Warn("the process was paused; no new work until a peer or the platform has confirmed its state")
		c.start(c.checkPlatform)
	}
	for _, p := range due {
		c.beat(p)
	}
}

// ready reports whether this host may start work now.
func (c *control) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Ready(time.Now())
}

// confirmed reports whether this host's state was fully confirmed.
func (c *control) confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Confirmed(time.Now())
}

// leave tells the contacts at once that this host shuts down.
func (c *control) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Leave()
	for _, p := range c.view.Contacts() {
		c.start(func(ctx context.Context) { c.exchange(ctx, p) })
	}
}

// peerState returns what a host said last, and whether it is silent.
func (c *control) peerState(name string) (state membership.State, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.PeerState(time.Now(), name)
}

// incarnation returns that of a host's newest process, and 0 if it is not known.
func (c *control) incarnation(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Incarnation(name)
}

// setLoad sets the source of the load. Peers may be answered already.
func (c *control) setLoad(load func() uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load = load
}

// updateLoad puts the present load into the next message. The caller holds c.mu.
func (c *control) updateLoad() {
	if c.load != nil {
		c.view.SetLoad(c.load())
	}
}

func (c *control) configInForce(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.ConfigInForce(time.Now(), version)
}

func (c *control) agreed(trail uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Agreed(trail)
}

func (c *control) trailed(trail uint64, ordinals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetTrail(trail, ordinals)
}

func (c *control) hostsChanged(hosts []platform.Host) {
	peers := make([]membership.Peer, len(hosts))
	for i, h := range hosts {
		peers[i] = membership.Peer{Name: h.Name, Address: h.Peers, Seat: membership.Seat{Place: h.Place, Ordinal: h.Ordinal}}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetPeers(peers)
}

// offer takes a document and, if it is new, tells peers at once.
func (c *control) offer(value wire.Published, raw []byte) {
	accepted, err := c.published(value).offerDocument(raw)
	if err != nil || !accepted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range membership.Sample(c.rng, c.view.Contacts(), c.self.Place, pushFanout) {
		c.start(func(ctx context.Context) { c.exchange(ctx, p) })
	}
}

// join asks the service and peers for the configuration before it comes into
// force, and then waits until this host may work.
func (c *control) join(ctx context.Context) {
	if waitFor(ctx, joinPoll, func() bool { return c.directory.hosts() != nil }) != nil {
		return
	}
	c.mu.Lock()
	ask := c.view.Contacts()
	if len(ask) <= membership.MaxContacts {
		hosts := c.directory.hosts().list.Hosts
		all := make([]membership.Peer, 0, len(hosts))
		for _, h := range hosts {
			if h.Name != c.self.Name {
				all = append(all, membership.Peer{Name: h.Name, Address: h.Peers, Seat: membership.Seat{Place: h.Place, Ordinal: h.Ordinal}})
			}
		}
		ask = membership.Sample(c.rng, all, c.self.Place, joinPeers)
	}
	c.mu.Unlock()
	asking, cancel := context.WithTimeout(ctx, membership.ConfirmLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range ask {
		wg.Go(func() { c.exchange(asking, p) })
	}
	wg.Wait()
	// A heartbeat may still be pulling what a peer named.
	_ = waitFor(asking, joinPoll, c.holdsNewest)
	if waitFor(ctx, joinPoll, func() bool { return c.config.at().Version > 0 }) != nil {
		return
	}
	c.config.release()
	// Callers of a fleet that starts for the first time should not meet hosts
	// that may not use their shares yet. A replacement serves as entry at once.
	_ = waitFor(asking, joinPoll, c.shareSettled)
	if waitFor(ctx, joinPoll, c.ready) == nil {
		close(c.joined)
	}
}

// holdsNewest reports whether this host holds the newest configuration that a
// peer has named, or has refused it.
func (c *control) holdsNewest() bool {
	c.mu.Lock()
	newest := c.newest
	c.mu.Unlock()
	held := false
	c.config.with(func(s *configsync.State) { held = !s.Behind(newest) })
	return held
}

// waitFor polls a condition until it holds or the context ends.
func waitFor(ctx context.Context, poll time.Duration, condition func() bool) error {
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// watch reads a value once and then watches it while this host is one of its
// place's watchers.
func (c *control) watch(ctx context.Context, value wire.Published) {
	known := func() uint64 { return c.published(value).at().Version }
	offer := func(raw []byte) { c.offer(value, raw) }
	answered := func(began time.Time) {
		if value == wire.PublishedConfig {
			c.platformAnswered(began)
		}
	}
	for first := true; ctx.Err() == nil; first = false {
		if first || c.watches() {
			watching, cancel := context.WithCancel(ctx)
			c.watching[value].Store(true)
			c.wg.Go(func() {
				_ = waitFor(watching, rolePoll, func() bool { return !c.needsRead(value) })
				cancel()
			})
			c.clients[value].Watch(watching, known, offer, answered)
			c.watching[value].Store(false)
			cancel()
		}
		_ = waitFor(ctx, rolePoll, func() bool { return c.needsRead(value) })
	}
}

// needsRead reports whether this host reads a value: it has none yet, has not
// joined, or is a watcher of its place.
func (c *control) needsRead(value wire.Published) bool {
	return c.config.tree() == nil || c.published(value).at().Version == 0 || c.watches()
}

// watches reports whether this host is a watcher of its place now.
func (c *control) watches() bool {
	tree := c.config.tree()
	if tree == nil {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return configsync.Watches(c.self.Place, c.self.Ordinal, tree.Doc.Places[c.self.Place].Hosts, tree.Doc.Version, func(ordinal int) bool {
		h, ok := c.directory.hosts().bySeat[seat{c.self.Place, ordinal}]
		return ok && c.view.Heard(now, h.Name)
	})
}

func (c *control) platformAnswered(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.PlatformRead(time.Now(), began)
}

// checkPlatform asks the service for a newer configuration after a pause.
func (c *control) checkPlatform(ctx context.Context) {
	last, now := c.platformCheck.Load(), time.Now().UnixNano()
	if time.Duration(now-last) < platformCheckPause || !c.platformCheck.CompareAndSwap(last, now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ConfirmLimit)
	defer cancel()
	began := time.Now()
	data, _, err := c.clients[wire.PublishedConfig].Get(ctx, c.config.at().Version, 0)
	if err == nil {
		c.offer(wire.PublishedConfig, data)
	}
	if err == nil || errors.Is(err, platform.ErrUnchanged) {
		c.platformAnswered(began)
	}
}

// pins returns the hosts that rules need an acknowledgement of: the watchers of
// the place if this host is their substitute, and the other owners of cold
// targets. The caller holds c.mu.
func (c *control) pins() []string {
	tree, hosts := c.config.tree(), c.directory.hosts()
	if tree == nil || hosts == nil {
		return nil
	}
	var names []string
	order := configsync.Watchers(c.self.Place, tree.Doc.Places[c.self.Place].Hosts, tree.Doc.Version)
	if ownership.Rank(order, c.self.Ordinal) == configsync.WatchersPerPlace {
		for _, ordinal := range order[:configsync.WatchersPerPlace] {
			names = append(names, hosts.bySeat[seat{c.self.Place, ordinal}].Name)
		}
	}
	first := len(names)
	for name, at := range c.wanted {
		if time.Since(at) > pinFor {
			delete(c.wanted, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names[first:])
	return names
}

// mayUseCold reports whether this host may use a cold target's allowance.
func (c *control) mayUseCold(t *settings.TargetInfo) bool {
	rank := ownership.Rank(t.Owners, c.self.Ordinal)
	if t.Place != c.self.Place || rank < 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(t.Owners) == 1 {
		return c.view.MayUseCold(time.Now(), rank, nil)
	}
	other := membership.Seat{Place: t.Place, Ordinal: t.Owners[1-rank]}
	if hosts := c.directory.hosts(); hosts != nil && rank == 0 {
		if h, ok := hosts.bySeat[seat{other.Place, other.Ordinal}]; ok {
			c.wanted[h.Name] = time.Now()
		}
	}
	return c.view.MayUseCold(time.Now(), rank, &other)
}

// shareSettled reports whether no answer of a peer can change when this host
// may use its share.
func (c *control) shareSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.FirstSettled()
}

// mayUseShare reports whether this host may use its share of a target.
func (c *control) mayUseShare(target string) bool {
	owned := c.config.owned.Load()
	if owned == nil {
		return false
	}
	tenure, ok := (*owned)[target]
	c.mu.Lock()
	defer c.mu.Unlock()
	return ok && c.view.MayUseShare(time.Now(), tenure)
}

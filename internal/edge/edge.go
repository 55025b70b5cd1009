package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/published"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"golang.org/x/sync/errgroup"
)

const (
	// DirectoryTTL is how long callers may cache a directory answer. Some cache it
	// three times as long, which has to fit the grace period of a shutdown.
	DirectoryTTL = 2 * time.Second
	// StartupDirectoryTTL replaces DirectoryTTL while the roster of a host that has just
	// started may be incomplete. Otherwise callers would stay with the few hosts that
	// started first after a loss of all hosts.
	StartupDirectoryTTL = 500 * time.Millisecond
	// leavingPeriod is how long a leaving host still accepts new connections, because
	// callers may have its address in a cached directory answer.
	leavingPeriod = 3500 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the end of the process, and
	// abandonReserve the first part of it, in which open requests are answered without the
	// results of their targets.
	exitReserve    = 400 * time.Millisecond
	abandonReserve = 200 * time.Millisecond
	// aloneCheckInterval is the interval at which a host that waits for its last requests looks
	// whether another host accepts callers.
	aloneCheckInterval = 20 * time.Millisecond
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a caller's connection may be idle. It is
	// longer than any idle timeout advertised to callers, so that no request is sent
	// on a connection that this host has just closed.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// goMemoryFraction is the fraction of the process's memory limit that is set as
	// the soft limit of the Go runtime.
	goMemoryFraction = 0.6
	// totalsInterval is the time between two "totals" log lines.
	totalsInterval       = 10 * time.Second
	housekeepingInterval = 500 * time.Millisecond
	// preconnectInterval is the time between two rounds of connections that are opened
	// ahead of requests.
	preconnectInterval = 300 * time.Millisecond
)

// Handlers implement the platform's HTTP protocols on top of the host.
type Handlers struct {
	Callers   func(handle func(context.Context, *engine.Request) engine.Answer, limits func() catalog.Limits) http.Handler
	Directory func(resolve func(place string) (addresses []string, ttl time.Duration)) http.Handler
	Ready     func(ready func() bool) http.Handler
	Metrics   http.Handler // nil if metrics are not served
}

// Options of a Host.
type Options struct {
	Site     site.Settings
	Store    Store
	Codec    backend.Codec
	Handlers Handlers
	Observer engine.Observer
	// OperatorsAddress is the TCP address at which metrics, status and explanations
	// are served; empty if they are not.
	OperatorsAddress string
	Tracer           *telemetry.Tracer // nil disables tracing
	Log              hclog.Logger
}

// Host is one host on the users' platform. It is safe for concurrent use.
type Host struct {
	opts         Options
	incarnation  int64
	started      time.Time
	engine       *engine.Engine
	gossip       *gossip.Gossip
	follower     *follower
	load         *loadMeter
	quotas       *quotas
	callers      *callerLimits
	activating   sync.Mutex // held while a published state is put in force
	reloadMu     sync.Mutex
	applied      site.Settings // settings in force; guarded by reloadMu
	leaving      atomic.Bool   // set when the shutdown begins; reported in heartbeats
	openRequests atomic.Int64  // requests of callers in progress
	fleetHosts   atomic.Int64  // hosts that may be running, this one included
	placeHosts   atomic.Int64  // those of them in this host's place
	shares       atomic.Pointer[shares]
	directedHere atomic.Bool // whether callers are directed to this host
	// directedHosts are the hosts to which callers are directed.
	directedHosts atomic.Pointer[[]notice.Host]
	// directedShare is used by housekeeping only.
	directedShare roster.DirectedShare
}

// New returns a host that is not serving yet; only the UDP socket for heartbeats is open.
// It returns an error if the socket's address is not valid or the socket cannot be opened.
func New(o Options) (*Host, error) {
	h := &Host{opts: o, applied: o.Site, started: time.Now(), incarnation: time.Now().UnixNano(), load: newLoadMeter(o.Site.CPUCores, o.Site.LinkBytesPerSecond)}
	h.fleetHosts.Store(roster.AssumedFleetHosts)
	h.placeHosts.Store(roster.AssumedFleetHosts / 4)
	h.shares.Store(&shares{fleet: 1.0 / roster.AssumedFleetHosts, place: 4.0 / roster.AssumedFleetHosts, extra: 1.0 / roster.AssumedFleetHosts})
	if o.Site.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(goMemoryFraction * float64(o.Site.MemoryLimitBytes)))
	}
	seed := uint64(h.incarnation)
	h.quotas = newQuotas(h, seed)
	h.callers = newCallerLimits(&o.Site, o.Log.Named("callers"))
	h.engine = engine.New(engine.Config{
		Place: o.Site.Place, RetryRatio: o.Site.RetryRatio, RetrySlack: o.Site.RetrySlack, RetryWindow: o.Site.RetryWindow,
		Codec: o.Codec, Fleet: h, Log: o.Log.Named("engine"), Observer: o.Observer, Tracer: o.Tracer, Seed: seed, OnSend: h.load.count,
		MemoryBytes: o.Site.MemoryLimitBytes, DrainBound: o.Site.DrainBound, Quota: h.quotas,
		Ground: func() published.Ground { return h.follower.ground() },
	})
	h.follower = newFollower(&h.opts.Site, o.Store, gossip.NewPuller(), o.Log.Named("state"), h.fleetAt, h.activate)
	var err error
	h.gossip, err = gossip.New(gossip.Options{
		Address: h.gossipAddress(), Port: o.Site.GossipPort, Seeds: o.Site.Seeds, Self: h.selfState,
		Log: o.Log.Named("gossip"), RandSeed: seed, Crashes: h.engine.CrashReport, OnCrashes: h.engine.ImportCrashes,
		Notices: h.engine.NoticeReports, OnNotices: h.engine.ImportNotices, RecentUpdates: h.follower.recentUpdates,
		OnQuota: h.quotas.receive,
		OnUpdate: func(from roster.State, update *published.Update) {
			h.follower.observePeer(context.Background(), from, update)
		},
	})
	if err != nil {
		return nil, err
	}
	return h, nil
}

// gossipAddress returns the IP address and UDP port at which this host receives
// heartbeats.
func (h *Host) gossipAddress() string {
	return net.JoinHostPort(h.opts.Site.IP, strconv.Itoa(int(h.opts.Site.GossipPort)))
}

// shares are the fractions that this host may use of limits for the whole fleet and
// for its place, and of the extra sends of the fleet.
type shares struct{ fleet, place, extra float64 }

// Shares implements engine.Fleet.
func (h *Host) Shares() (fleet, place float64) {
	s := h.shares.Load()
	return s.fleet, s.place
}

// ExtraShare implements engine.Fleet.
func (h *Host) ExtraShare() float64 { return h.shares.Load().extra }

// Owns implements engine.Fleet. Until roster.SettleTime after its start, a host may
// lack others in its roster, and owns no targets.
func (h *Host) Owns(target, place string, owners int) (owns bool) {
	if time.Since(h.started) < roster.SettleTime {
		return false
	}
	h.gossip.WithRoster(func(r *roster.Roster) { owns = r.Owns(target, place, owners) })
	return owns
}

// LimitPosition implements engine.Fleet. Until roster.SettleTime after its start, a host
// may lack others, and assumes the last place in a group of a large fleet.
func (h *Host) LimitPosition(target, place string) notice.Position {
	self := notice.Host{Name: h.opts.Site.Name, Place: h.opts.Site.Place}
	var hosts []notice.Host
	if directed := h.directedHosts.Load(); directed != nil {
		hosts = *directed
	}
	p := notice.PositionOf(self, hosts, target, place)
	if time.Since(h.started) < roster.SettleTime {
		p.Hosts = max(p.Hosts, roster.AssumedFleetHosts)
		p.Group = max(p.Group, roster.AssumedFleetHosts/4)
		p.Rank = p.Group - 1
	}
	return p
}

// Hosts implements engine.Fleet.
func (h *Host) Hosts() (all, here int) { return int(h.fleetHosts.Load()), int(h.placeHosts.Load()) }

// selfState returns the state that this host reports in heartbeats.
func (h *Host) selfState() roster.State {
	s := roster.State{
		Name: h.opts.Site.Name, Incarnation: h.incarnation, Place: h.opts.Site.Place,
		CallerAddress: h.opts.Site.CallerAddress, PeerAddress: h.opts.Site.PeerAddress, GossipAddress: h.gossipAddress(),
		Ready: h.ready(), Leaving: h.leaving.Load(),
	}
	ground := h.follower.ground()
	s.Capacity, s.Load = h.load.capacity, h.load.current()
	s.Era, s.Revision, s.ConfigVersion = ground.Era, ground.Revision, ground.ConfigVersion
	s.ConfirmedAge = min(time.Since(ground.ConfirmedAt), time.Hour).Milliseconds()
	s.RolledBack = h.follower.rolledBack()
	return s
}

// fleetAt returns this host's place among the others.
func (h *Host) fleetAt(now time.Time) (f published.Fleet) {
	h.gossip.WithRoster(func(r *roster.Roster) {
		f = published.Fleet{ReaderRank: r.ReaderRank(now), HeardHosts: r.HeardHosts()}
	})
	return f
}

// peersWithState returns the addresses of some peers, chosen at random, that have a
// published state.
func (h *Host) peersWithState() []string {
	var addresses []string
	h.gossip.WithRoster(func(r *roster.Roster) {
		for _, peer := range r.Alive(time.Now()) {
			if peer.Revision > 0 {
				addresses = append(addresses, peer.PeerAddress)
			}
		}
	})
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxNamedPeers)]
}

// activate puts a new published state in force and sends a heartbeat that announces
// the state's revision: to all hosts that are alive and to the seeds for the first state,
// else to the receivers of a regular heartbeat.
func (h *Host) activate(v *catalog.View) {
	first, ok := h.putInForce(v)
	switch {
	case !ok:
	case first:
		h.gossip.Broadcast()
	default:
		h.gossip.Send()
	}
}

// putInForce puts a state in force unless a newer one is, which it reports with false. first is
// set for the first state.
func (h *Host) putInForce(v *catalog.View) (first, ok bool) {
	h.activating.Lock()
	defer h.activating.Unlock()
	old := h.engine.View()
	if old != nil && v.Sequence < old.Sequence {
		return false, false
	}
	h.quotas.configure(v.Config)
	h.engine.SetView(v)
	if old == nil || old.Config != v.Config {
		version := uint64(0)
		if v.Config != nil {
			version = v.Config.Version
		}
		h.opts.Log.Info("configuration in force", "config", version, "era", v.Era, "revision", v.Revision, "confirmed_by", h.follower.ground().ConfirmedBy)
	}
	return old == nil, true
}

// ready reports whether this host accepts callers' requests.
func (h *Host) ready() bool {
	v := h.engine.View()
	return v != nil && v.Config != nil && !h.leaving.Load()
}

// limits returns the limits of the configuration in force, or the zero value if there
// is none.
func (h *Host) limits() catalog.Limits {
	if v := h.engine.View(); v != nil && v.Config != nil {
		return v.Config.Limits
	}
	return catalog.Limits{}
}

// handle runs a caller's request and counts it while it is in progress.
func (h *Host) handle(ctx context.Context, r *engine.Request) engine.Answer {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	answer := engine.Answer{Outcome: outcome.Uncertain(outcome.Internal, "unexpected error")}
	guard.Run(h.opts.Log, "request", func() { answer = h.engine.Do(ctx, r) })
	return answer
}

// Run serves until the context ends, and then shuts down within the grace period.
// It returns an error at once if an address cannot be listened on. The error of a server
// that fails is returned only after the context has ended.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	conns := h.callers.conns
	callers := &http.Server{
		Handler: h.callers.budget.Handler(callerbody.LimitSlowAnswers(h.opts.Handlers.Callers(h.handle, h.limits))), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	conns.Attach(callers)
	servers := []struct {
		address string
		server  *http.Server
	}{
		{h.opts.Site.CallerAddress, callers},
		{h.opts.Site.ReadyAddress, newSmallServer(h.opts.Handlers.Ready(h.ready))},
		{h.opts.Site.DirectoryAddress, newSmallServer(h.opts.Handlers.Directory(h.resolve))},
		{h.opts.Site.PeerAddress, newSmallServer(gossip.StateHandler(gossip.Sources{UpdateFor: h.follower.updateFor, Others: h.peersWithState}))},
	}
	if h.opts.OperatorsAddress != "" {
		servers = append(servers, struct {
			address string
			server  *http.Server
		}{h.opts.OperatorsAddress, newSmallServer(h.operators())})
	}
	var group errgroup.Group
	for _, s := range servers {
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		if s.server == callers {
			listener = conns.Listener(listener)
		} else {
			listener = h.callers.sideListener(s.server, listener)
		}
		group.Go(func() error {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	go h.gossip.Run(background)
	go h.follower.run(background)
	go h.housekeeping(background)
	go h.quotas.run(background)
	go h.quotas.refreshUntilSettled(background)
	go h.preconnect(background)
	h.opts.Log.Info("started", "host", h.opts.Site.Name, "place", h.opts.Site.Place, "callers", h.opts.Site.CallerAddress, "incarnation", h.incarnation)
	<-ctx.Done()
	h.shutdown(callers, conns)
	for _, s := range servers {
		_ = s.server.Close()
	}
	return group.Wait()
}

// newSmallServer returns a server for readiness checks, directory queries and other
// short requests.
func newSmallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout + callerbody.AnswerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// housekeeping periodically updates the size of the fleet, the shares and the load,
// drops targets that did not register again after a store outage, refreshes the engine
// and logs totals, until the context ends.
func (h *Host) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	lastTotals := time.Now()
	for {
		guard.Run(h.opts.Log, "housekeeping", h.refresh)
		if now := time.Now(); now.Sub(lastTotals) >= totalsInterval {
			lastTotals = now
			h.logTotals()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// preconnect opens connections to shards ahead of requests while callers are directed to
// this host, until the context ends.
func (h *Host) preconnect(ctx context.Context) {
	for ctx.Err() == nil {
		// Before SettleTime this host may know too few others to tell.
		if time.Since(h.started) >= roster.SettleTime && h.directedHere.Load() {
			h.engine.Preconnect(ctx)
		}
		sleep(ctx, preconnectInterval)
	}
}

// refresh does the periodic work of housekeeping.
func (h *Host) refresh() {
	now := time.Now()
	directed := h.directed(now)
	h.directedHere.Store(h.isOneOf(directed))
	sharing := make([]notice.Host, len(directed))
	for i, d := range directed {
		sharing[i] = notice.Host{Name: d.Name, Place: d.Place}
	}
	h.directedHosts.Store(&sharing)
	h.directedShare.Update(now, h.directedHere.Load(), len(directed))
	h.gossip.WithRoster(func(r *roster.Roster) {
		all, here := r.FleetSize(now)
		h.fleetHosts.Store(int64(all))
		h.placeHosts.Store(int64(here))
		fleet, place := r.Shares(now, h.load.capacity)
		h.shares.Store(&shares{fleet, place, h.directedShare.Of(now, fleet)})
	})
	h.follower.tick(now)
	h.follower.expire()
	h.engine.Refresh()
	h.quotas.refresh(now, h.directedHere.Load())
	h.load.update(now)
	h.callers.refresh(now)
}

// logTotals logs the connections to targets that were opened, could not be opened and
// were closed, by reason, and the store calls, all since the start, with the current
// numbers of hosts. They help to explain the load on targets.
func (h *Host) logTotals() {
	c := h.engine.Connections()
	all, here := h.Hosts()
	alive := 0
	h.gossip.WithRoster(func(r *roster.Roster) { alive = len(r.Alive(time.Now())) })
	h.opts.Log.Info("totals", "opened", c.Opened.Load(), "opened_ahead", c.Ahead.Load(), "not_opened", c.DialFailed.Load(), "closed_asked", c.ClosedByTarget.Load(),
		"closed_stale", c.Stale.Load(), "closed_unproven", c.NotRecent.Load(), "closed_disturbed", c.UnexpectedData.Load(),
		"closed_broken", c.Broken.Load(), "oversized", c.Oversized.Load(), "no_memory", c.NoMemory.Load(), "malformed", c.Malformed.Load(), "hosts", all, "hosts_here", here, "peers_alive", alive, "store_calls", h.follower.callCount())
}

// shutdown leaves the directory, serves callers that still have this host's address
// cached, and then closes their connections once their requests are answered. While no other
// host accepts callers, it accepts their connections as long as it has requests. It refuses
// requests that may outlast the grace period, and answers those that nevertheless do.
func (h *Host) shutdown(callers *http.Server, conns *callerconn.Set) {
	var phases drain.Shutdown
	period := h.gracePeriod()
	grace := max(period-exitReserve, period/2)
	leaving := min(leavingPeriod, grace*2/3)
	phases.Begin(time.Now(), leaving, grace-leaving)
	h.engine.BeginShutdown(phases, h.isAlone)
	conns.EndWithAnswers(func() bool { return phases.EndsConnections(time.Now(), h.isAlone()) })
	h.leaving.Store(true)
	h.quotas.handOver()
	h.gossip.Broadcast()
	h.opts.Log.Info("leaving", "open", h.openRequests.Load(), "serves_ms", leaving.Milliseconds())
	sleepAndCatchUp(phases.Remaining(time.Now(), int(h.openRequests.Load())))
	for phases.StaysOpen(time.Now(), int(h.openRequests.Load()), h.isAlone()) {
		time.Sleep(aloneCheckInterval)
	}
	abandon := time.AfterFunc(phases.Remaining(time.Now(), 1), h.abandon)
	defer abandon.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), phases.Remaining(time.Now(), 1)+abandonReserve)
	defer cancel()
	if err := conns.Shutdown(ctx, callers); err != nil {
		open := h.openRequests.Load()
		h.opts.Log.Error("closing connections of callers at the end of the grace period", "open", open, "unanswered", conns.Abort(), "error", err)
	}
	h.opts.Log.Info("stopped", "open", h.openRequests.Load())
}

// isAlone reports whether callers are directed to no other host.
func (h *Host) isAlone() bool {
	directed := h.directedHosts.Load()
	return directed != nil && !slices.ContainsFunc(*directed, func(o notice.Host) bool { return o.Name != h.opts.Site.Name })
}

// sleepAndCatchUp sleeps for d, and longer if the process has just been stalled.
func sleepAndCatchUp(d time.Duration) {
	var stalls drain.Stalls
	now := time.Now()
	for end := now.Add(d); now.Before(end); {
		due := now.Add(min(drain.StallThreshold, end.Sub(now)))
		time.Sleep(time.Until(due))
		now = time.Now()
		stalls.Woke(due, now)
	}
	time.Sleep(stalls.CatchUp(now))
}

// abandon answers the requests in progress without the results of their targets.
func (h *Host) abandon() {
	if open := h.openRequests.Load(); open > 0 {
		h.opts.Log.Warn("answering requests still open at the end of the grace period", "open", open)
	}
	h.engine.Abandon()
}

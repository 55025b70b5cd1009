package edge

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"golang.org/x/sync/errgroup"
)

const (
	// EntriesTTL is how long callers may keep a directory answer. Some keep it
	// three times as long, which has to fit the grace period of a shutdown.
	EntriesTTL = 2 * time.Second
	// StartupEntriesTTL is the same for a host that has just started and may not know the
	// others yet: after a loss of all hosts, callers would stay with the few that
	// started first.
	StartupEntriesTTL = 500 * time.Millisecond
	// keptEntries is how long a host that leaves still gets new connections.
	keptEntries = 3500 * time.Millisecond
	// exitReserve is the part of the grace period left for the exit itself.
	exitReserve = 400 * time.Millisecond
	// headerLimit bounds the time in which a caller sends a request's head.
	headerLimit = 10 * time.Second
	// idleLimit bounds the time for which a caller's connection may be idle. It is
	// longer than any limit that callers are told, so that a request never meets
	// a connection that this host just closed.
	idleLimit = 2 * time.Minute
	// maxHeader bounds the head of a request.
	maxHeader = 64 << 10
	// memoryShare is the part of the memory limit that the Go runtime may use.
	memoryShare = 0.6
	// totalsEvery is the time between two log lines with totals.
	totalsEvery = 10 * time.Second
	// tick is the time between rounds of housekeeping.
	tick = 500 * time.Millisecond
)

// Handlers translate between HTTP and the host.
type Handlers struct {
	Callers   func(do func(context.Context, *engine.Request) engine.Answer, limits func() catalog.Limits) http.Handler
	Directory func(resolve func(place string) (addresses []string, keep time.Duration)) http.Handler
	Ready     func(ready func() bool) http.Handler
	Metrics   http.Handler // nil: none
}

// Options of a Host.
type Options struct {
	Site     site.Settings
	Store    Store
	Codec    backend.Codec
	Handlers Handlers
	Observer engine.Observer
	// OperatorsAddress is the address at which operators read metrics and status; empty:
	// none.
	OperatorsAddress string
	Tracer           *telemetry.Tracer // nil makes no spans
	Log              hclog.Logger
}

// Host is one running host.
type Host struct {
	o           Options
	incarnation int64
	started     time.Time
	engine      *engine.Engine
	gossip      *gossip.Gossip
	follower    *follower
	load        *loadMeter
	reloading   sync.Mutex
	applied     site.Settings // those in force; guarded by reloading
	leaving     atomic.Bool
	open        atomic.Int64 // requests of callers in progress
	fleetAll    atomic.Int64
	fleetHere   atomic.Int64
	shares      atomic.Pointer[shares]
}

// New prepares a host. Nothing listens yet but the heartbeat socket.
func New(o Options) (*Host, error) {
	h := &Host{o: o, applied: o.Site, started: time.Now(), incarnation: time.Now().UnixNano(), load: newLoadMeter(o.Site.CPUCores, o.Site.LinkBytesPerSecond)}
	h.fleetAll.Store(roster.AssumedFleetHosts)
	h.fleetHere.Store(roster.AssumedFleetHosts / 4)
	h.shares.Store(&shares{fleet: 1.0 / roster.AssumedFleetHosts, place: 4.0 / roster.AssumedFleetHosts})
	if o.Site.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(o.Site.MemoryLimitBytes)))
	}
	seed := uint64(h.incarnation)
	h.engine = engine.New(engine.Config{
		Place: o.Site.Place, RetryRatio: o.Site.RetryRatio, RetrySlack: o.Site.RetrySlack, RetryWindow: o.Site.RetryWindow,
		Codec: o.Codec, Fleet: h, Log: o.Log.Named("engine"), Observer: o.Observer, Tracer: o.Tracer, Seed: seed, OnSend: h.load.count,
	})
	h.follower = newFollower(&h.o.Site, o.Store, gossip.NewPuller(), o.Log.Named("state"), h.readsStore, h.publish)
	var err error
	h.gossip, err = gossip.New(gossip.Options{
		Address: h.gossipAddress(), Port: o.Site.GossipPort, Seeds: o.Site.Seeds, Self: h.self,
		Log: o.Log.Named("gossip"), RandSeed: seed, Crashes: h.engine.RecentCrashes, OnCrashes: h.engine.AddCrashes, RecentUpdates: h.follower.news,
		OnUpdate: func(from roster.State, news *gossip.Update) { h.follower.heard(context.Background(), from, news) },
	})
	return h, err
}

func (h *Host) gossipAddress() string {
	return net.JoinHostPort(h.o.Site.IP, strconv.Itoa(int(h.o.Site.GossipPort)))
}

// shares are this host's parts of limits that hosts share.
type shares struct{ fleet, place float64 }

// Shares implements engine.Fleet.
func (h *Host) Shares() (fleet, place float64) {
	s := h.shares.Load()
	return s.fleet, s.place
}

// Owns implements engine.Fleet. A host that has just started may not know the
// others, and owns nothing.
func (h *Host) Owns(target, place string, owners int) (owns bool) {
	if time.Since(h.started) < roster.SettleTime {
		return false
	}
	h.gossip.WithRoster(func(r *roster.Roster) { owns = r.Owns(target, place, owners) })
	return owns
}

// Hosts implements engine.Fleet.
func (h *Host) Hosts() (all, here int) { return int(h.fleetAll.Load()), int(h.fleetHere.Load()) }

func (h *Host) self() roster.State {
	s := roster.State{
		Name: h.o.Site.Name, Incarnation: h.incarnation, Place: h.o.Site.Place,
		CallerAddress: h.o.Site.CallerAddress, PeerAddress: h.o.Site.PeerAddress, GossipAddress: h.gossipAddress(),
		Ready: h.ready(), Leaving: h.leaving.Load(),
	}
	revision, age := h.follower.position()
	s.Capacity, s.Load = h.load.capacity, h.load.current()
	s.Revision, s.ConfirmedAge = revision, min(age, time.Hour).Milliseconds()
	return s
}

func (h *Host) readsStore(now time.Time) bool {
	reads := false
	h.gossip.WithRoster(func(r *roster.Roster) { reads = r.ReadsStore(now, StoreReaders) })
	return reads
}

// publish puts a new state in force and tells the peers.
func (h *Host) publish(v *catalog.View) {
	old := h.engine.View()
	h.engine.SetView(v)
	if old == nil || old.Config != v.Config {
		version := uint64(0)
		if v.Config != nil {
			version = v.Config.Version
		}
		h.o.Log.Info("configuration in force", "config", version, "revision", v.Revision)
	}
	if old == nil {
		h.gossip.Broadcast()
		return
	}
	h.gossip.Send()
}

func (h *Host) ready() bool {
	v := h.engine.View()
	return v != nil && v.Config != nil && !h.leaving.Load()
}

func (h *Host) limits() catalog.Limits {
	if v := h.engine.View(); v != nil && v.Config != nil {
		return v.Config.Limits
	}
	return catalog.Limits{}
}

func (h *Host) do(ctx context.Context, r *engine.Request) engine.Answer {
	h.open.Add(1)
	defer h.open.Add(-1)
	return h.engine.Do(ctx, r)
}

// Run serves until the context ends, and then ends in order.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: h.o.Handlers.Callers(h.do, h.limits), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeader,
	}
	servers := []struct {
		address string
		server  *http.Server
	}{
		{h.o.Site.CallerAddress, callers},
		{h.o.Site.ReadyAddress, small(h.o.Handlers.Ready(h.ready))},
		{h.o.Site.DirectoryAddress, small(h.o.Handlers.Directory(h.resolve))},
		{h.o.Site.PeerAddress, small(gossip.StateHandler(h.follower.state))},
	}
	if h.o.OperatorsAddress != "" {
		servers = append(servers, struct {
			address string
			server  *http.Server
		}{h.o.OperatorsAddress, small(h.operators())})
	}
	var group errgroup.Group
	for _, s := range servers {
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
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
	h.o.Log.Info("started", "host", h.o.Site.Name, "place", h.o.Site.Place, "callers", h.o.Site.CallerAddress, "incarnation", h.incarnation)
	<-ctx.Done()
	h.shutdown(callers)
	for _, s := range servers {
		_ = s.server.Close()
	}
	return group.Wait()
}

// small returns a server for short calls.
func small(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
}

func (h *Host) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	reported := time.Now()
	for {
		h.gossip.WithRoster(func(r *roster.Roster) {
			all, here := r.FleetSize(time.Now())
			h.fleetAll.Store(int64(all))
			h.fleetHere.Store(int64(here))
			fleet, place := r.Shares(time.Now(), h.load.capacity)
			h.shares.Store(&shares{fleet, place})
		})
		h.follower.expire()
		h.engine.Refresh()
		h.load.round(time.Now())
		if now := time.Now(); now.Sub(reported) >= totalsEvery {
			reported = now
			h.logCounters()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// logCounters writes the totals that explain the load on targets.
func (h *Host) logCounters() {
	c := h.engine.Connections()
	all, here := h.Hosts()
	alive := 0
	h.gossip.WithRoster(func(r *roster.Roster) { alive = len(r.Alive(time.Now())) })
	h.o.Log.Info("totals", "opened", c.Opened.Load(), "not_opened", c.DialFailed.Load(), "closed_asked", c.ClosedByTarget.Load(),
		"closed_stale", c.Stale.Load(), "closed_unproven", c.NotRecent.Load(), "closed_disturbed", c.UnexpectedData.Load(),
		"closed_broken", c.Broken.Load(), "hosts", all, "hosts_here", here, "peers_alive", alive, "store_calls", h.follower.made())
}

// shutdown leaves the directory, serves callers that still know this host's
// address, and closes their connections once their requests are answered.
func (h *Host) shutdown(callers *http.Server) {
	var phases drain.Shutdown
	grace := max(h.o.Site.GracePeriod-exitReserve, time.Second)
	kept := min(keptEntries, grace*2/3)
	phases.Begin(time.Now(), kept, grace-kept)
	h.leaving.Store(true)
	h.gossip.Broadcast()
	h.o.Log.Info("leaving", "open", h.open.Load(), "serves_ms", kept.Milliseconds())
	time.Sleep(phases.Remaining(time.Now(), int(h.open.Load())))
	ctx, cancel := context.WithTimeout(context.Background(), grace-kept)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.o.Log.Error("requests were cut at the end of the grace period", "open", h.open.Load(), "error", err)
	}
	h.o.Log.Info("stopped", "open", h.open.Load())
}

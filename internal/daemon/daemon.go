package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/api/commands"
	"github.com/lacewingyard/lacewingyard/internal/api/queries"
	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Limits of the HTTP servers for callers and operators.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Options configure a Daemon.
type Options struct {
	Process *settings.Process
	TLS     *tls.Config // for mutual TLS between hosts
	Logger  hclog.Logger
	Metrics *telemetry.Metrics // nil creates a new set
	Tracer  *telemetry.Tracer  // nil disables tracing

	// Incarnation must be higher for each later process of an ordinal; 0 means
	// the time at which New is called, in Unix nanoseconds.
	Incarnation uint64

	// Listen opens the listeners for callers and operators; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// ListenPacket opens the socket for peers; nil means UDP.
	ListenPacket func(address string) (net.PacketConn, error)
	// DialTarget opens connections to targets; nil means TCP.
	DialTarget target.Dialer
}

// Daemon is the process of one host.
type Daemon struct {
	opts           Options
	log            hclog.Logger
	config         *config
	directory      *directory
	control        *control
	branch         *branch
	entry          *entry
	transport      *peer.Transport
	callerServer   *http.Server
	callerConns    *callerconn.Set
	callerLimits   *callerLimits
	operatorServer *http.Server
	openRequests   openRequests
	rateLimit      *api.RateLimiter
	ready          chan struct{}
	aborted        chan struct{}
	abortOnce      sync.Once
	drainRequested chan struct{} // closed by Drain
	drainOnce      sync.Once
	initialized    chan struct{} // closed when New has set every field
	// ending is done when the requests that are still open in a shutdown must end.
	ending      context.Context
	endRequests context.CancelFunc
}

// New creates a daemon, opens its socket for peers and starts to serve them. Run
// opens the listeners for callers and operators. It returns an error if the
// host's name is invalid or the socket cannot be opened.
func New(opts Options) (*Daemon, error) {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.NewMetrics()
	}
	if opts.Tracer == nil {
		opts.Tracer = &telemetry.Tracer{}
	}
	if opts.Listen == nil {
		opts.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if opts.ListenPacket == nil {
		opts.ListenPacket = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	if opts.DialTarget == nil {
		opts.DialTarget = (&net.Dialer{}).DialContext
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(time.Now().UnixNano())
	}
	if err := atmostonce.CheckHost(opts.Process.Name); err != nil {
		return nil, errors.Wrap(err, "process settings")
	}
	d := &Daemon{opts: opts, log: opts.Logger.With("host", opts.Process.Name), ready: make(chan struct{}), initialized: make(chan struct{}), aborted: make(chan struct{}),
		drainRequested: make(chan struct{})}
	d.callerConns = callerconn.NewSet()
	d.callerLimits = newCallerLimits(d.callerConns, d.log.Named("callers"))
	d.ending, d.endRequests = context.WithCancel(context.Background())
	d.config = newConfig(opts.Process, d.log)
	d.directory = newDirectory(d.log)
	d.control = newControl(opts.Process, opts.Incarnation, d.config, d.directory, d.log)
	guard := newQuarantineGuard(opts.Process, d.config, d.directory)
	d.branch = newBranch(opts.Process, d.config, guard, opts.DialTarget)
	d.branch.ending = d.ending
	obs := observer{tracer: opts.Tracer, metrics: opts.Metrics}
	d.branch.observer = obs

	d.control.buildExtension, d.control.handleExtension = guard.buildExtension, guard.handleExtension
	d.branch.dispatcher.rules = usageRules{
		mayUseCold: d.control.mayUseCold, mayUseShare: d.control.mayUseShare, isLeaving: d.directory.targetLeaving,
	}

	conn, err := opts.ListenPacket(opts.Process.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	d.transport, err = peer.Listen(conn, opts.TLS, d.servePeer)
	if err != nil {
		return nil, err
	}
	d.registerGauges()
	d.control.transport = d.transport
	branches := &branchClient{self: opts.Process, local: d.branch, directory: d.directory, transport: d.transport, observer: obs, peerState: d.control.peerState}
	d.branch.peers = branches
	d.entry = newEntry(opts.Process, d.config, d.directory, branches)
	branches.roundTrip = d.entry.roundTrip
	d.entry.router.SetFreeSlotFunc(d.branch.dispatcher.hasFreeSlot)
	d.control.setLoadSource(d.entry.admission.utilization)
	guard.transport, d.entry.guard, d.entry.observer = d.transport, guard, obs
	d.entry.home = newHome(opts.Process, opts.Incarnation, d.entry, d.ending)
	d.branch.admits = func(limit time.Duration) bool { return d.entry.admits(d.ending, drain.Request{Limit: limit}) }
	d.rateLimit = api.NewRateLimiter(func() int { return d.config.tree().Effective(opts.Process.Place, "").CallerRateLimit }, d.entry.RefusalOutcome)
	d.entry.peerState, d.entry.incarnation, d.entry.connLost = d.control.peerState, d.control.incarnation, d.transport.Lost
	d.connectQuotas()
	d.config.onTenants = func(tree *settings.Tree) {
		d.entry.tenants.configure(tree)
		d.entry.quotas.configure(tree)
	}
	close(d.initialized)
	return d, nil
}

// Ready returns a channel that is closed when the daemon serves callers.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Run serves until the context ends or Drain is called and then shuts down
// gracefully: it finishes the requests in progress and returns nil. It returns an
// *AbortedError if requests were cut off by Abort or by the end of the grace
// period, and an error if a listener fails, or if the context ends or Abort is
// called before a configuration and a host list were read and confirmed.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.control.run(background) })

	if err := d.waitForConfig(ctx); err != nil {
		stop()
		wg.Wait()
		return errors.CombineErrors(err, d.transport.Close())
	}
	wg.Go(func() { d.entry.quotas.run(background) })
	err := d.serve(ctx)
	stop()
	wg.Wait()
	d.branch.close()
	return errors.CombineErrors(err, d.transport.Close())
}

// waitForConfig blocks until a configuration and a host list are in force and
// confirmed, because a host without them does not serve. It returns an error if the
// context ends or Abort is called before.
func (d *Daemon) waitForConfig(ctx context.Context) error {
	select {
	case <-d.control.joined:
		return nil
	case <-d.aborted:
		return errors.New("aborted before a configuration and a host list were read and confirmed")
	case <-ctx.Done():
		return errors.New("stopped before a configuration and a host list were read and confirmed")
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *Daemon) callerRoutes() http.Handler {
	router := mux.NewRouter()
	entry := &telemetry.Instrumented{Entry: &stoppingEntry{d.entry, d.ending}, Metrics: d.opts.Metrics, Tracer: d.opts.Tracer}
	queries.Register(router, entry)
	commands.Register(router, entry)
	api.HandleUnknownRoutes(router, "callers")
	return d.rateLimit.Wrap(router)
}

func (d *Daemon) operatorRoutes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	router.Handle("/metrics", d.opts.Metrics.Handler())
	router.HandleFunc("/status", d.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/v1/drain", d.serveDrain).Methods(http.MethodPost)
	api.HandleUnknownRoutes(router, "operators")
	return router
}

// servePeer serves one stream of another host.
func (d *Daemon) servePeer(ctx context.Context, exchange wire.Exchange, s *peer.Stream) {
	switch exchange {
	case wire.ExchangeSearch:
		d.branch.serve(ctx, s, d.branch.serveSearch)
	case wire.ExchangeLookup:
		d.branch.serve(ctx, s, d.branch.serveLookup)
	case wire.ExchangeHeartbeat:
		d.control.serveHeartbeat(s)
	case wire.ExchangePull:
		d.control.servePull(s)
	case wire.ExchangeQuarantine:
		d.branch.guard.serveNotice(s)
	case wire.ExchangeCommand:
		d.serveCommand(ctx, s)
	case wire.ExchangeLookupOnce:
		d.serveOnce(ctx, s)
	case wire.ExchangeQuota:
		d.serveQuota(ctx, s)
	case wire.ExchangeHandover:
		d.serveHandover(s)
	default:
		s.Reset() // an exchange of a newer software version
	}
}

// Package fleet runs a whole deployment in one process on loopback: the
// stand-ins for platform, targets and links, and the hosts of the tier with
// real sockets between them. The demo, the load tool and tests use it.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Names of the published values.
const (
	ConfigKey = "config"
	HostsKey  = "hosts"
)

// Deployment is what the files of a deployment directory say.
type Deployment struct {
	Document settings.Document
	Model    *standin.Model
	Traces   settings.Traces // of every host; the zero value traces nothing
}

// Load reads config.json and model.json of a directory.
func Load(dir string) (*Deployment, error) {
	tree, err := settings.LoadDocument(filepath.Join(dir, "config.json"))
	if err != nil {
		return nil, err
	}
	model, err := standin.LoadModel(filepath.Join(dir, "model.json"))
	if err != nil {
		return nil, err
	}
	for name := range tree.Doc.Services {
		if _, ok := model.Services[name]; !ok {
			return nil, errors.Newf("%s: service %q of the configuration has no model", dir, name)
		}
	}
	return &Deployment{Document: tree.Doc, Model: model}, nil
}

// Host is one running daemon.
type Host struct {
	Entry     platform.Host
	Operators string // IP and port for operators
	Daemon    *daemon.Daemon
	cancel    context.CancelFunc
	done      chan struct{} // closed when Run has returned
	err       error         // what Run returned; valid when done is closed
	ended     func() error  // waits for the end; may be called several times
	socks     *sockets
	tracer    *telemetry.Tracer
}

// run runs the daemon until the context ends or it is aborted.
func (h *Host) run(ctx context.Context) {
	h.ended = sync.OnceValue(func() error {
		<-h.done
		return errors.CombineErrors(h.err, h.tracer.Close())
	})
	go func() {
		h.err = h.Daemon.Run(ctx)
		close(h.done)
	}()
}

// Stop shuts the host down gracefully and returns its error.
func (h *Host) Stop() error {
	h.cancel()
	return h.ended()
}

// Abort ends the host at once.
func (h *Host) Abort() error {
	h.Daemon.Abort()
	return h.ended()
}

// Fleet is a running deployment.
type Fleet struct {
	Platform  *standin.Platform
	Network   *standin.Network
	Searchers map[string]*standin.Searcher // by target identifier
	Datasets  map[string]*standin.Dataset  // by service
	Hosts     []*Host                      // as started; use Running while hosts come and go
	Model     *standin.Model

	Authority *standin.Authority // signs the certificates of the hosts

	log    hclog.Logger
	traces settings.Traces

	tree atomic.Pointer[settings.Tree]

	mu       sync.Mutex
	document settings.Document
	list     platform.HostList
	started  int // hosts started so far, for their names
}

// Start starts the stand-ins and one host per ordinal, and waits until every
// host serves. The given document's target addresses are replaced by those on
// which the stand-ins listen.
func Start(ctx context.Context, d *Deployment, log hclog.Logger) (*Fleet, error) {
	f, err := StartStandins(d, log)
	if err != nil {
		return nil, err
	}
	if err := f.startHosts(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// StartStandins starts only what surrounds the hosts. Hosts are added with
// AddHost, or run as processes of their own.
func StartStandins(d *Deployment, log hclog.Logger) (*Fleet, error) {
	f := &Fleet{
		Searchers: map[string]*standin.Searcher{}, Datasets: map[string]*standin.Dataset{},
		Model: d.Model, Network: standin.NewNetwork(d.Model), log: log, traces: d.Traces,
	}
	var err error
	if f.document, err = clone(&d.Document); err != nil {
		return nil, err
	}
	if err := f.startStandins(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// clone copies a document, so that a run leaves the deployment as it was.
func clone(doc *settings.Document) (settings.Document, error) {
	var copied settings.Document
	data, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(data, &copied)
	}
	return copied, errors.Wrap(err, "copy configuration")
}

func (f *Fleet) startStandins() error {
	var err error
	if f.Authority, err = standin.NewAuthority(); err != nil {
		return errors.Wrap(err, "make certificates")
	}
	if f.Platform, err = standin.NewPlatform(); err != nil {
		return errors.Wrap(err, "start platform stand-in")
	}
	if err := f.startSearchers(); err != nil {
		return errors.Wrap(err, "start searchers")
	}
	return f.PublishConfig(func(*settings.Document) {})
}

func (f *Fleet) startHosts(ctx context.Context) error {
	// In order of name, so that the names of the hosts, which have a running
	// number, are the same in each run.
	for _, place := range slices.Sorted(maps.Keys(f.document.Places)) {
		for ordinal := range f.document.Places[place].Hosts {
			if _, err := f.AddHost(ctx, place, ordinal); err != nil {
				return err
			}
		}
	}
	for _, h := range f.Hosts {
		select {
		case <-h.Daemon.Ready():
		case <-h.done:
			return errors.Newf("host %s ended: %v", h.Entry.Name, h.err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (f *Fleet) startSearchers() error {
	for name, service := range f.document.Services {
		model := f.Model.Services[name]
		data := standin.NewDataset(model.Noun, model.Records, f.Model.Seed)
		f.Datasets[name] = data
		for _, group := range service.Groups {
			shard := data.Shard(group.Range)
			for i := range group.Targets {
				t := &group.Targets[i]
				s, err := standin.NewSearcher(*t, name, model, shard, group.Range, service.PartitionEpoch, f.Model.Seed)
				if err != nil {
					return err
				}
				t.Address = s.Address()
				f.Searchers[t.ID] = s
				f.Network.Register(t.Address, t.Place, time.Duration(model.ConnectMS*float64(time.Millisecond)))
			}
		}
	}
	return nil
}

// PublishConfig changes the configuration document and publishes it as the
// next version. It refuses a document that is not valid; Platform.Publish takes
// anything.
func (f *Fleet) PublishConfig(change func(*settings.Document)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := clone(&f.document)
	if err != nil {
		return err
	}
	next.Version++
	change(&next)
	data, err := json.Marshal(&next)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return errors.Wrap(err, "changed configuration")
	}
	f.document = next
	f.tree.Store(tree)
	f.Platform.Publish(ConfigKey, f.document.Version, data)
	return nil
}

// Tree returns the configuration published last.
func (f *Fleet) Tree() *settings.Tree { return f.tree.Load() }

// PublishHosts changes the host list and publishes it as the next version.
func (f *Fleet) PublishHosts(change func(*platform.HostList)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.Version++
	change(&f.list)
	return f.Platform.PublishJSON(HostsKey, f.list.Version, &f.list)
}

// HostList returns the host list published last.
func (f *Fleet) HostList() platform.HostList {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list
	list.Hosts = slices.Clone(list.Hosts)
	return list
}

// AddHost starts a daemon for an ordinal of a place and lists it.
func (f *Fleet) AddHost(ctx context.Context, place string, ordinal int) (*Host, error) {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	peers, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Network.Register(peers.LocalAddr().String(), place, 0)
	f.mu.Lock()
	number := f.started
	f.started++
	f.mu.Unlock()
	process := &settings.Process{
		Name: fmt.Sprintf("%s-%d-%d", place, ordinal, number), Place: place, Ordinal: ordinal,
		Listen: settings.Listen{
			Callers: callers.Addr().String(), Operators: operators.Addr().String(), Peers: peers.LocalAddr().String(),
		},
	}
	process.Platform.ConfigURL = f.Platform.ReaderURL(process.Name, ConfigKey)
	process.Platform.HostsURL = f.Platform.ReaderURL(process.Name, HostsKey)
	conf, err := f.Authority.TLSConfig(process.Name)
	if err != nil {
		return nil, err
	}
	tracer, err := telemetry.NewTracer(ctx, f.traces, process.Name, place)
	if err != nil {
		return nil, err
	}
	socks := &sockets{open: map[io.Closer]bool{}}
	listeners := map[string]net.Listener{
		process.Listen.Callers: socks.listener(callers), process.Listen.Operators: socks.listener(operators),
	}
	socks.add(peers)
	d, err := daemon.New(daemon.Options{
		Process: process, TLS: conf, Logger: f.log, Tracer: tracer,
		Listen:       func(address string) (net.Listener, error) { return listeners[address], nil },
		ListenPacket: func(string) (net.PacketConn, error) { return f.Network.PacketConn(peers, place), nil },
		DialTarget:   socks.dialer(f.Network.Dialer(place)),
	})
	if err != nil {
		return nil, err
	}
	hostCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &Host{
		Operators: process.Listen.Operators,
		Daemon:    d, cancel: cancel, done: make(chan struct{}), socks: socks, tracer: tracer,
		Entry: platform.Host{
			Name: process.Name, Place: place, Ordinal: ordinal, State: platform.HostLive,
			Callers: process.Listen.Callers, Peers: process.Listen.Peers,
		},
	}
	h.run(hostCtx)
	f.mu.Lock()
	f.Hosts = append(f.Hosts, h)
	f.mu.Unlock()
	return h, f.PublishHosts(func(list *platform.HostList) { list.Hosts = append(list.Hosts, h.Entry) })
}

// Close stops everything at once.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, h := range f.Hosts {
		wg.Go(func() { _ = h.Abort() })
	}
	wg.Wait()
	for _, s := range f.Searchers {
		s.Kill()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}

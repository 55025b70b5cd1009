// Package fleet runs a complete deployment in one process on loopback for the demo,
// the load tool and tests: stand-ins for the platform, the targets and the links,
// and the hosts, which communicate over real sockets.
//
// It owns the published configuration and host list and the lifetime of all hosts
// and stand-ins. It does not generate load, schedule faults or check answers.
//
// The methods that publish, add or stop hosts are safe for concurrent use. Close
// must not be called concurrently with them.
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

// Keys of the values that the platform stand-in publishes.
const (
	ConfigKey = "config"
	HostsKey  = "hosts"
)

// Deployment is the configuration of a deployment and the model of its stand-ins.
type Deployment struct {
	Document settings.Document
	Model    *standin.Model
	Traces   settings.Traces // trace export of every host; the zero value disables tracing
}

// Load reads config.json and model.json from a directory. A file that is invalid,
// or a service without a model, is an error.
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
	Entry     platform.Host // the host's entry in the host list
	Operators string        // IP address and port for operators
	Daemon    *daemon.Daemon
	cancel    context.CancelFunc
	done      chan struct{} // closed when Run has returned
	err       error         // result of Run; valid when done is closed
	wait      func() error  // waits for Run to return; may be called several times
	sockets   *socketTracker
	tracer    *telemetry.Tracer
}

// run starts the daemon, which runs until the context ends or Abort is called.
func (h *Host) run(ctx context.Context) {
	h.wait = sync.OnceValue(func() error {
		<-h.done
		return errors.CombineErrors(h.err, h.tracer.Close())
	})
	go func() {
		h.err = h.Daemon.Run(ctx)
		close(h.done)
	}()
}

// Stop shuts the host down gracefully and returns the error of its daemon.
func (h *Host) Stop() error {
	h.cancel()
	return h.wait()
}

// Abort stops the host without a graceful shutdown and returns the error of its
// daemon.
func (h *Host) Abort() error {
	h.Daemon.Abort()
	return h.wait()
}

// Fleet is a running deployment.
type Fleet struct {
	Platform  *standin.Platform
	Network   *standin.Network
	Searchers map[string]*standin.Searcher // by target ID
	Datasets  map[string]*standin.Dataset  // by service
	Hosts     []*Host                      // in order of their starts; use Running while hosts are added or stopped
	Model     *standin.Model

	Authority *standin.Authority // signs the certificates of the hosts

	log    hclog.Logger
	traces settings.Traces

	tree atomic.Pointer[settings.Tree]

	mu           sync.Mutex
	document     settings.Document
	hostList     platform.HostList
	hostsStarted int // total, part of the next host's name
}

// Start starts the stand-ins and one host per ordinal, and waits until every host
// is ready. The target addresses of the published configuration are those on which
// the stand-ins listen; d is not changed.
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

// StartStandins starts the stand-ins without hosts. Hosts are added with AddHost or
// run as separate processes.
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

// clone returns a deep copy of a document, so that a run does not change the
// deployment.
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
		return errors.Wrap(err, "create certificate authority")
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
	// Host names contain a sequence number; starting places in the order of their
	// names makes the host names the same in every run.
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
			return errors.Newf("host %s stopped before it was ready: %v", h.Entry.Name, h.err)
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

// PublishConfig applies change to the configuration document and publishes the
// result as the next version. An invalid document is an error and is not published;
// Platform.Publish accepts any bytes.
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
		return errors.Wrap(err, "new configuration")
	}
	f.document = next
	f.tree.Store(tree)
	f.Platform.Publish(ConfigKey, f.document.Version, data)
	return nil
}

// Tree returns the most recently published configuration.
func (f *Fleet) Tree() *settings.Tree { return f.tree.Load() }

// PublishHosts applies change to the host list and publishes the result as the next
// version.
func (f *Fleet) PublishHosts(change func(*platform.HostList)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostList.Version++
	change(&f.hostList)
	return f.Platform.PublishJSON(HostsKey, f.hostList.Version, &f.hostList)
}

// HostList returns a copy of the most recently published host list.
func (f *Fleet) HostList() platform.HostList {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.hostList
	list.Hosts = slices.Clone(list.Hosts)
	return list
}

// AddHost starts a daemon at an ordinal of a place and adds it to the host list. It
// does not wait until the host is ready.
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
	number := f.hostsStarted
	f.hostsStarted++
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
	tracker := &socketTracker{open: map[io.Closer]bool{}}
	listeners := map[string]net.Listener{
		process.Listen.Callers: tracker.listener(callers), process.Listen.Operators: tracker.listener(operators),
	}
	tracker.add(peers)
	d, err := daemon.New(daemon.Options{
		Process: process, TLS: conf, Logger: f.log, Tracer: tracer,
		Listen:       func(address string) (net.Listener, error) { return listeners[address], nil },
		ListenPacket: func(string) (net.PacketConn, error) { return f.Network.PacketConn(peers, place), nil },
		DialTarget:   tracker.dialer(f.Network.Dialer(place)),
	})
	if err != nil {
		return nil, err
	}
	hostCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &Host{
		Operators: process.Listen.Operators,
		Daemon:    d, cancel: cancel, done: make(chan struct{}), sockets: tracker, tracer: tracer,
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

// Close aborts all hosts and stops the stand-ins.
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

package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// host is a host and its process.
type host struct {
	platformtest.HostSettings
	settingsFile string
	storeProxy   *Proxy // through which the host reaches the store
	cmd          *exec.Cmd
	pid          atomic.Int64  // of the process; 0 before the first start
	exited       chan struct{} // closed when the process has exited
	exitErr      error         // of the process, set before exited is closed; nil for status 0
}

// testFleet is the fleet under test with its fake platform: a store and targets.
type testFleet struct {
	dir     string // for settings files and the output of the hosts
	binary  string
	grace   time.Duration // between SIGTERM and SIGKILL when a host is stopped
	store   *platformtest.Store
	runLog  *platformtest.RunLog
	targets []*target // all that were started, at-most-once targets first
	hosts   []*host
	checker *Checker
	book    *tenantBook
	routes  *routeBook
	version uint64 // of the last published configuration
	// publishedAt is when the write of that began.
	publishedAt time.Time
	shards      []string // set of shards in the last published configuration
	client      *http.Client
	output      *os.File // standard output and error of the hosts

	raceDetector bool  // whether binary was built with it
	peakMemory   int64 // of any host, in bytes
}

// target is a fake target and the proxy through which hosts reach it.
type target struct {
	*platformtest.Target
	proxy *Proxy
}

// Size and timing of a testFleet. Each place has one target of each shard.
const (
	places            = 3
	seeds             = 3 // the first hosts
	shardsPerSet      = 5
	atMostOnceTargets = 6
	// killerPath is the end of the path of calls that end the targets which run them, and
	// killedFor the time after which such a target is back.
	killerPath = "killer"
	killedFor  = 300 * time.Millisecond
	// fetchPrefix is that of a route to one target whose requests may be repeated.
	fetchPrefix  = "/fetch/"
	serviceTime  = 8 * time.Millisecond
	routeTimeout = 4 * time.Second
)

func newTestFleet(binary, dir string, hosts int, grace time.Duration) (*testFleet, error) {
	s := &testFleet{dir: dir, binary: binary, grace: grace, runLog: &platformtest.RunLog{}, checker: NewChecker(), book: newTenantBook(), routes: newRouteBook(), client: &http.Client{Transport: httpanswer.DefaultTransport, Timeout: routeTimeout}}
	var err error
	if s.raceDetector, err = hasRaceDetector(binary); err != nil {
		return nil, errors.Wrapf(err, "read the build settings of %s", binary)
	}
	if s.output, err = os.Create(filepath.Join(dir, "hosts.log")); err != nil {
		return nil, err
	}
	if s.store, err = platformtest.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range atMostOnceTargets {
		if err := s.addTarget(fmt.Sprintf("once-%d", i), platformtest.AtMostOnceService, i%places); err != nil {
			return nil, err
		}
	}
	if err := s.startProbeTargets(); err != nil {
		return nil, err
	}
	if err := s.newShardSet("a"); err != nil {
		return nil, err
	}
	ips := make([]string, hosts)
	for i := range ips {
		ips[i] = fmt.Sprint("127.0.1.", 1+i)
	}
	ports, err := platformtest.FreePorts(ips...)
	if err != nil {
		return nil, err
	}
	for i := range hosts {
		h := &host{HostSettings: platformtest.HostSettings{
			Name: fmt.Sprint("host-", i), IP: ips[i], Place: fmt.Sprint("p", i%places), Ports: ports,
			Seeds: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}, Grace: grace,
		}, settingsFile: filepath.Join(dir, fmt.Sprintf("host-%d.yaml", i))}
		if h.storeProxy, err = NewProxy(s.store.Address); err != nil {
			return nil, err
		}
		h.Store = h.storeProxy.Address
		if err := os.WriteFile(h.settingsFile, []byte(h.Settings()), 0o600); err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

func (s *testFleet) addTarget(id, service string, place int) error {
	t, err := platformtest.NewTarget("127.0.0.1:0", id, service, fmt.Sprint("p", place), serviceTime, s.runLog)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(t.Address)
	if err != nil {
		return err
	}
	t.Address = proxy.Address
	t.SetKiller(platformtest.AtMostOncePrefix+killerPath, func() { proxy.Down(killedFor) })
	s.targets = append(s.targets, &target{t, proxy})
	s.store.Put(t.Key(), t.Entry("ready"))
	return nil
}

// newShardSet starts the targets of a new set of shards and publishes a configuration
// with this set. The names of the shards begin with name.
func (s *testFleet) newShardSet(name string) error {
	var set []string
	for i := range shardsPerSet {
		service := fmt.Sprintf("%s%d", name, i)
		set = append(set, service)
		for place := range places {
			if err := s.addTarget(fmt.Sprintf("%s-%d", service, place), service, place); err != nil {
				return err
			}
		}
	}
	s.shards = set
	s.publish()
	return nil
}

// publish writes the next version of the configuration, with the same tenants.
func (s *testFleet) publish() { s.publishTenants(s.book.published()) }

// publishTenants writes the next version of the configuration.
func (s *testFleet) publishTenants(tenants []platformtest.Tenant) {
	s.version += 3
	s.checker.AddShardSet(s.shards)
	config := platformtest.ConfigWithRoute(s.version, s.shards, routeTimeout, fetchPrefix)
	routes := config["routes"].([]map[string]any)
	routes[len(routes)-1]["route_type"] = "idempotent"
	config["limits"].(map[string]any)["max_body_bytes"] = maxBodyBytes
	platformtest.SetTenants(config, tenants, append(s.routes.addTo(config), further)...)
	s.publishedAt = time.Now()
	s.store.Put(platformtest.ConfigKey, config)
	after := time.Now()
	s.checker.PublishTenants(s.publishedAt, after, tenants)
	s.checker.PublishRoutes(s.publishedAt, after, s.routes.version(s.version))
	s.book.adopt(tenants)
}

func (s *testFleet) startHost(h *host) error {
	h.cmd = exec.Command(s.binary, "edge", "--settings", h.settingsFile, "--metrics-port", strconv.Itoa(h.Ports.Operators))
	h.cmd.Stdout, h.cmd.Stderr = s.output, s.output
	if err := h.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", h.Name)
	}
	h.pid.Store(int64(h.cmd.Process.Pid))
	s.checker.AddHostStart(h.Address(h.Ports.Callers), time.Now())
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		h.exitErr = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the host's process unless the process has exited.
func (h *host) signal(sig syscall.Signal) {
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(sig) // the process may exit at the same moment
	}
}

// laterSignal is a signal to a host that is stopping.
type laterSignal struct {
	after time.Duration // since the first signal
	sig   syscall.Signal
}

// stop terminates the host gracefully, or kills it after the grace period, and sends it further
// signals, in the order of their times, meanwhile. It returns an error if the process ended by
// itself and not with status 0.
func (h *host) stop(grace time.Duration, further ...laterSignal) error {
	began := time.Now()
	h.signal(syscall.SIGTERM)
	kill := time.After(grace)
	for _, s := range further {
		select {
		case <-h.exited:
		case <-time.After(time.Until(began.Add(s.after))):
			h.signal(s.sig)
		}
	}
	select {
	case <-h.exited:
		return h.exitErr
	case <-kill:
		h.kill()
		return nil
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (s *testFleet) close() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.kill()
		}
		h.storeProxy.Close()
	}
	for _, t := range s.targets {
		t.proxy.Close()
		t.Close()
	}
	for _, t := range s.routes.targets {
		t.Close()
	}
	s.store.Close()
	_ = s.output.Close()
}

package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// grace is the time from SIGTERM to SIGKILL of a host.
const grace = 3 * time.Second

// host is a host process.
type host struct {
	platformtest.HostSettings
	file  string
	store *Proxy
	cmd   *exec.Cmd
	ended chan struct{}
}

// site is the deployment under test.
type site struct {
	dir     string
	binary  string
	store   *platformtest.Store
	log     *platformtest.RunLog
	targets []*target
	hosts   []*host
	check   *Checker
	version uint64
	shards  []string // set in force
	client  *http.Client
	output  *os.File // of the hosts
}

// target is a stand-in with the proxy through which hosts reach it.
type target struct {
	*platformtest.Target
	proxy *Proxy
}

// sizes of a site; places have one target of each shard.
const (
	places      = 3
	shardsOfSet = 5
	onceTargets = 6
	serviceTime = 8 * time.Millisecond
	routeLimit  = 2 * time.Second
)

func newSite(binary, dir string, hosts int) (*site, error) {
	s := &site{dir: dir, binary: binary, log: &platformtest.RunLog{}, check: NewChecker(), client: &http.Client{Timeout: routeLimit}}
	var err error
	if s.output, err = os.Create(filepath.Join(dir, "hosts.log")); err != nil {
		return nil, err
	}
	if s.store, err = platformtest.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range onceTargets {
		if err := s.addTarget(fmt.Sprintf("once-%d", i), platformtest.AtMostOnceService, i%places); err != nil {
			return nil, err
		}
	}
	if err := s.newSet("a"); err != nil {
		return nil, err
	}
	ports, err := platformtest.FreePorts("127.0.0.1")
	if err != nil {
		return nil, err
	}
	for i := range hosts {
		h := &host{HostSettings: platformtest.HostSettings{
			Name: fmt.Sprint("host-", i), IP: fmt.Sprint("127.0.1.", 1+i), Place: fmt.Sprint("p", i%places), Ports: ports,
			Seeds: []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}, Grace: grace,
		}, file: filepath.Join(dir, fmt.Sprintf("host-%d.yaml", i))}
		if h.store, err = NewProxy(s.store.Address); err != nil {
			return nil, err
		}
		h.Store = h.store.Address
		if err := os.WriteFile(h.file, []byte(h.Settings()), 0o600); err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

func (s *site) addTarget(id, service string, place int) error {
	t, err := platformtest.NewTarget("127.0.0.1:0", id, service, fmt.Sprint("p", place), serviceTime, s.log)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(t.Address)
	if err != nil {
		return err
	}
	t.Address = proxy.Address
	s.targets = append(s.targets, &target{t, proxy})
	s.store.Put(t.Key(), t.Entry("ready"))
	return nil
}

// newSet starts the targets of a new set of shards and publishes a configuration
// that names it.
func (s *site) newSet(name string) error {
	var set []string
	for i := range shardsOfSet {
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

// publish writes the next version of the configuration.
func (s *site) publish() {
	s.version += 3
	s.check.AddShardSet(s.shards)
	s.store.Put("op/config", platformtest.Config(s.version, s.shards, routeLimit))
}

func (s *site) startHost(h *host) error {
	h.cmd = exec.Command(s.binary, "edge", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = s.output, s.output
	if err := h.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", h.Name)
	}
	ended := make(chan struct{})
	h.ended = ended
	cmd := h.cmd
	go func() {
		_ = cmd.Wait() // hosts are killed on purpose
		close(ended)
	}()
	return nil
}

// signal sends a signal to a host's process if it runs.
func (h *host) signal(sig syscall.Signal) {
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(sig) // it may end at this moment
	}
}

// stop ends a host in order, or kills it after the grace period.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(grace):
		h.kill()
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.kill()
		}
		h.store.Close()
	}
	for _, t := range s.targets {
		t.proxy.Close()
		t.Close()
	}
	s.store.Close()
	_ = s.output.Close()
}

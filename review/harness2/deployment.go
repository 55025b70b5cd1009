package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// Values of the settings of a small deployment, as the bench prints them.
const (
	memoryMB       = 284
	maxDescriptors = 4100
	graceSeconds   = 6
	metricsPort    = 9464 // of the deploy file
	hostName       = "leno12.example"
)

// deployment is a store, targets and hosts on loopback addresses.
type deployment struct {
	dir   string // of settings and logs; temporary
	store *store
	ports platformtest.Ports
	ips   []string
	hosts []*host

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// newDeployment starts a store and draws addresses for a number of hosts.
func newDeployment(recordPath string, hosts int) (*deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: record, began: time.Now()}
	b, c := 10+rand.IntN(200), 1+rand.IntN(250)
	for i := range hosts {
		d.ips = append(d.ips, fmt.Sprintf("127.%d.%d.%d", b, c, i+1))
	}
	if d.ports, err = platformtest.FreePorts(d.ips...); err != nil {
		return nil, err
	}
	d.store, err = newStore()
	return d, err
}

// log writes a line to the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the hosts and the store and removes the temporary folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.end()
	}
	d.store.close()
	_ = d.record.Close()
	_ = os.RemoveAll(d.dir)
}

// host is one process of "lacewingyard edge".
type host struct {
	d    *deployment
	name string
	ip   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
	ended  bool
}

// startHost writes the settings of a host and starts it.
func (d *deployment) startHost(i int) (*host, error) {
	h := &host{d: d, name: fmt.Sprintf("frontend-boston-hall-%d", i+1), ip: d.ips[i]}
	d.hosts = append(d.hosts, h)
	if err := os.WriteFile(h.settingsPath(), []byte(h.settings()), 0o644); err != nil {
		return nil, err
	}
	return h, h.start()
}

func (h *host) settingsPath() string { return filepath.Join(h.d.dir, h.name+".yaml") }

func (h *host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// callers returns the address for callers.
func (h *host) callers() string { return h.address(h.d.ports.Callers) }

func (h *host) settings() string {
	var seeds strings.Builder
	for _, ip := range h.d.ips {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", ip, h.d.ports.Peers)
	}
	p := h.d.ports
	return fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "frontend"
serves: ["frontend", "control_plane", "directory"]
ip: %q
zone: "boston-hall"
region: "new-england"
zones:
  boston-hall: "new-england"
bind_addresses:
  frontend: %q
  readiness: %q
  control: %q
  directory: %q
internal_ports:
  - %d
  - %d
seeds:
%sbootstrap: true
loss_counts: false
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: %d
  max_fds: %d
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry_point: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds:
  seed_lag_s: 3
  address_reuse_s: 2
  contact_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: %d
  loss_slack_ms: 200
  config_apply_ms: 3000
  downgrade_slack_ms: 250
  stretch_max_ms: 12000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 54
  warmup_overshoot: 1.5
  warmup_slack: 5
  evacuate_ms: 5000
  recovery_s: 12
  ttl_max_s: 5
platform:
  address: %q
  form: "read"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, h.name, h.ip, h.address(p.Callers), h.address(p.Ready), h.address(p.Peers), h.address(p.Directory), p.Gossip, p.Gossip+1,
		seeds.String(), memoryMB, maxDescriptors, graceSeconds, h.d.store.address)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/lacewingyard", "edge", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.d.dir, "LACEWINGYARD_BOOT=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	h.starts++
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// process returns the process that runs now and a channel that is closed when it has ended.
func (h *host) process() (*os.Process, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process, h.exited
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	p, exited := h.process()
	_ = p.Kill()
	<-exited
}

// end kills the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.kill()
}

// memory returns the resident bytes of the process: all, and those that are its own and belong
// to no file.
func (h *host) memory() (resident, anonymous int64) {
	p, _ := h.process()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			resident = kb << 10
		case "RssAnon":
			anonymous = kb << 10
		}
	}
	return resident, anonymous
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status := get("http://" + h.address(h.d.ports.Ready) + "/-/ready"); status == 200 {
			return true
		}
	}
	return false
}

// limits are the limits of the configuration.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// service is a service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0}
}

// putConfig writes a configuration with one route to one service.
func (d *deployment) putConfig(version int, routeType, prefix, serviceName string) {
	d.putRoutes(version, routeType, serviceName, prefix)
}

// putRoutes writes a configuration with a route for each prefix, all to one service.
func (d *deployment) putRoutes(version int, routeType, serviceName string, prefixes ...string) {
	var routes []map[string]any
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d", i), "hostname": hostName, "prefix": prefix, "route_type": routeType,
			"timeout_ms": 4000, "target_latency_ms": 600, "priority": 2, "service": serviceName, "attempts": 2})
	}
	d.store.put("op/config", map[string]any{
		"config_version": version, "routes": routes, "services": []map[string]any{service(serviceName)},
		"limits": limits,
	})
}

// putShards writes a configuration with one route to all of the given shards.
func (d *deployment) putShards(version int, prefix string, shards []string) {
	var services []map[string]any
	for _, s := range shards {
		services = append(services, service(s))
	}
	d.store.put("op/config", map[string]any{
		"config_version": version, "services": services, "limits": limits,
		"routes": []map[string]any{{"name": "r-shards", "hostname": hostName, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 800,
			"target_latency_ms": 200, "priority": 1, "gather": shards, "attempts": 2, "top_k": 50, "min_shard_ratio": 0.89}},
	})
}

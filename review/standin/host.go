package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// host is one process of the project: "lacewingyard edge", as the deploy file starts it.
type host struct {
	callers, ready string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// The bounds are those of the site file pramtag-search.
const settings = `node_name: "frontend-boston-hall-1"
role: "host"
machine_class: "frontend"
serves: ["frontend", "control_plane", "directory"]
ip: %q
zone: "boston-hall"
region: "new-england"
zones: {boston-hall: "new-england", worcester-annex: "new-england", providence-vault: "new-england"}
bind_addresses:
  frontend: "%[1]s:%[2]d"
  readiness: "%[1]s:%[3]d"
  control: "%[1]s:%[4]d"
  directory: "%[1]s:%[5]d"
internal_ports: [%[6]d, %[7]d]
seeds: ["%[1]s:%[4]d"]
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "directory"
heartbeat_ms: 1200
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds:
  seed_lag_s: 3
  address_reuse_s: 2
  contact_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
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
platform: {address: %[8]q, form: "read", reads_per_s: 2000, history_s: 20, value_bytes: 1048576}
`

const hostIP = "127.0.8.1"

// freePorts returns ports that are free at the time of the call. They lie below the ephemeral
// range, from which an outgoing connection could take one before the host listens on it.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range 200 {
		port := 12000 + rand.IntN(20000)
		l, err := net.Listen("tcp", net.JoinHostPort(hostIP, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// startHost starts a host and waits until its readiness check succeeds.
func startHost(binary, folder, storeAddress string) (*host, error) {
	p, err := freePorts(7)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(folder, "boot.yaml")
	text := fmt.Sprintf(settings, hostIP, p[0], p[1], p[2], p[3], p[4], p[4]+1, storeAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(folder, "host.log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	h := &host{callers: net.JoinHostPort(hostIP, strconv.Itoa(p[0])), ready: net.JoinHostPort(hostIP, strconv.Itoa(p[1])), exited: make(chan struct{})}
	h.cmd = exec.Command(binary, "edge", "--metrics-port", strconv.Itoa(p[5]))
	h.cmd.Env = []string{"LACEWINGYARD_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	h.cmd.Stdout, h.cmd.Stderr = output, output
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.cmd.Wait() // the exit status is read from ProcessState
		close(h.exited)
	}()
	for range 200 {
		if h.isReady() {
			return h, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.kill()
	log, _ := os.ReadFile(output.Name())
	return nil, fmt.Errorf("the host is not ready after 10 s: %s", tail(string(log), 600))
}

func tail(s string, n int) string { return strings.TrimSpace(s[max(0, len(s)-n):]) }

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) signal(s syscall.Signal) {
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(s) // the process may exit at the same moment
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/gomega"
)

// edgeProcess is a running `lacewingyard edge` before a store and one target.
type edgeProcess struct {
	platformtest.HostSettings
	file   string // with the settings
	cmd    *exec.Cmd
	output bytes.Buffer
	target *platformtest.Target
	store  *platformtest.Store
}

// edgeGrace is the grace period of an edgeProcess.
const edgeGrace = 6 * time.Second

// startEdge starts a host, whose standard output goes to stdout if that is not nil, and waits
// until it is ready.
func startEdge(t testing.TB, stdout *os.File) *edgeProcess {
	return startEdgeWith(t, stdout, func(_ map[string]any, settings string) string { return settings })
}

// startEdgeWith is startEdge with a change of the configuration and of the settings file.
func startEdgeWith(t testing.TB, stdout *os.File, change func(config map[string]any, settings string) string) *edgeProcess {
	g := NewWithT(t)
	store, err := platformtest.NewStore("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	p := &edgeProcess{store: store}
	p.target, err = platformtest.NewTarget("127.0.0.1:0", "once-0", platformtest.AtMostOnceService, "a", time.Millisecond, &platformtest.RunLog{})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.target.Close)
	store.Put(p.target.Key(), p.target.Entry("ready"))
	config := platformtest.Config(1, nil, 4*time.Second)
	config["routes"] = config["routes"].([]map[string]any)[1:]
	const ip = "127.0.9.1"
	ports, err := platformtest.FreePorts(ip)
	g.Expect(err).NotTo(HaveOccurred())
	p.HostSettings = platformtest.HostSettings{Name: "host-1", IP: ip, Place: "a", Ports: ports, Store: store.Address, Seeds: []string{ip}, Grace: edgeGrace}
	p.file = filepath.Join(t.TempDir(), "settings.yaml")
	g.Expect(os.WriteFile(p.file, []byte(change(config, p.Settings())), 0o600)).To(Succeed())
	store.Put(platformtest.ConfigKey, config)
	p.cmd = exec.Command(testProgram(), "edge", "--settings", p.file)
	// A process with the race detector sleeps for a second at its exit unless told not to.
	p.cmd.Env = append(os.Environ(), runMainVariable+"=1", "GORACE="+os.Getenv("GORACE")+" atexit_sleep_ms=0")
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	g.Expect(p.cmd.Start()).To(Succeed())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	g.Eventually(func() bool { return platformtest.Ready(t.Context(), http.DefaultClient, p.Address(p.Ports.Ready)) }, "10s", "20ms").Should(BeTrue())
	return p
}

// callDuring sends a call that takes some time on the target, runs during while it is open,
// and returns its reply.
func (p *edgeProcess) callDuring(t *testing.T, work time.Duration, during func()) platformtest.Reply {
	p.target.SetServiceTime(work)
	replied := make(chan platformtest.Reply)
	go func() {
		replied <- platformtest.Call(t.Context(), &http.Client{Transport: &http.Transport{}}, p.Address(p.Ports.Callers), http.MethodPost, platformtest.AtMostOncePrefix+"open", "open", nil, 4*time.Second)
	}()
	time.Sleep(200 * time.Millisecond)
	during()
	return <-replied
}

// Guards against further signals that end a stopping host while requests are in progress.
func TestSignalsInSeriesCutNoRequest(t *testing.T) {
	g := NewWithT(t)
	p := startEdge(t, nil)
	reply := p.callDuring(t, 1500*time.Millisecond, func() {
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
			g.Expect(p.cmd.Process.Signal(s)).To(Succeed())
			time.Sleep(100 * time.Millisecond)
		}
	})
	g.Expect(reply.Err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(http.StatusOK))
	g.Expect(p.cmd.Wait()).To(Succeed(), p.output.String())
}

// Guards against a host that the end of the process which reads its log terminates.
func TestClosedLogPipeCutsNoRequest(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	p := startEdge(t, w)
	g.Expect(w.Close()).To(Succeed())
	reply := p.callDuring(t, 1500*time.Millisecond, func() {
		g.Expect(r.Close()).To(Succeed())
		g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	})
	g.Expect(reply.Err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(http.StatusOK))
	g.Expect(p.cmd.Wait()).To(Succeed(), p.output.String())
}

// Guards against a host that is killed with requests in progress because it counts on a grace
// period that was shortened just before the signal.
func TestStopAppliesSettingsChangedJustBeforeIt(t *testing.T) {
	const shorter = 3 * time.Second
	for name, hangUp := range map[string]func(signal func(syscall.Signal)){
		"with SIGHUP 50 ms before": func(signal func(syscall.Signal)) { signal(syscall.SIGHUP); time.Sleep(50 * time.Millisecond) },
		"with SIGHUP at once":      func(signal func(syscall.Signal)) { signal(syscall.SIGHUP) },
		"without SIGHUP":           func(func(syscall.Signal)) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := startEdge(t, nil)
			signal := func(s syscall.Signal) { g.Expect(p.cmd.Process.Signal(s)).To(Succeed()) }
			var stopped time.Time
			reply := p.callDuring(t, shorter+500*time.Millisecond, func() {
				p.Grace = shorter
				g.Expect(os.WriteFile(p.file, []byte(p.Settings()), 0o600)).To(Succeed())
				hangUp(signal)
				signal(syscall.SIGTERM)
				stopped = time.Now()
			})
			g.Expect(reply.Err).NotTo(HaveOccurred())
			g.Expect(reply.Status).To(Equal(http.StatusBadGateway), "it ran, and the target has not answered")
			g.Expect(p.cmd.Wait()).To(Succeed(), p.output.String())
			g.Expect(time.Since(stopped)).To(BeNumerically("<", shorter))
		})
	}
}

// Guards against a stop that an invalid settings file shortens or prevents.
func TestStopIgnoresInvalidSettings(t *testing.T) {
	g := NewWithT(t)
	p := startEdge(t, nil)
	reply := p.callDuring(t, 3500*time.Millisecond, func() {
		g.Expect(os.WriteFile(p.file, []byte("node_name: ["), 0o600)).To(Succeed())
		g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	})
	g.Expect(reply.Err).NotTo(HaveOccurred())
	g.Expect(reply.Status).To(Equal(http.StatusOK))
	g.Expect(p.cmd.Wait()).To(Succeed(), p.output.String())
}

// Guards against a host that drops the calls which arrived while it was paused until about the
// time at which it closes its listener.
func TestPausedStopAnswersWhatArrivedMeanwhile(t *testing.T) {
	for name, until := range map[string]time.Duration{ // after the signal to stop
		"until it closes its listener": 3520 * time.Millisecond,
		"until later":                  4200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := startEdge(t, nil)
			signal := func(s syscall.Signal) { g.Expect(p.cmd.Process.Signal(s)).To(Succeed()) }
			signal(syscall.SIGTERM)
			stopped := time.Now()
			time.Sleep(2800 * time.Millisecond)
			kept := make([]net.Conn, 4) // opened ahead
			for i := range kept {
				var err error
				kept[i], err = net.Dial("tcp", p.Address(p.Ports.Callers))
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = kept[i].Close() })
			}
			time.Sleep(100 * time.Millisecond)
			signal(syscall.SIGSTOP)
			replies := make(chan platformtest.Reply)
			for i := range 2 * len(kept) {
				transport := &http.Transport{}
				if i < len(kept) {
					transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return kept[i], nil }
				}
				go func() {
					id := fmt.Sprintf("paused-%d", i)
					replies <- platformtest.Call(t.Context(), &http.Client{Transport: transport}, p.Address(p.Ports.Callers), http.MethodPost, platformtest.AtMostOncePrefix+id, id, nil, 4*time.Second)
				}()
			}
			time.Sleep(time.Until(stopped.Add(until)))
			signal(syscall.SIGCONT)
			for range 2 * len(kept) {
				reply := <-replies
				g.Expect(reply.Err).NotTo(HaveOccurred())
				g.Expect(reply.NotRun()).To(BeTrue(), "status %d", reply.Status)
			}
			g.Expect(p.cmd.Wait()).To(Succeed(), p.output.String())
		})
	}
}

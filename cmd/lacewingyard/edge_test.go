package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/gomega"
)

// Guards against a host that SIGHUP terminates, which is the signal's default action:
// 29 requests were lost in the first benchmark run that sent SIGHUP to reload settings.
// Also guards against changed settings that are not reloaded.
func TestWatchSettingsReloadsOnSignalAndOnChange(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	h := platformtest.HostSettings{Name: "host-1", IP: "127.0.0.1", Place: "a", Store: "127.0.0.1:9", Seeds: []string{"127.0.0.1"}, Grace: time.Second}
	write := func(text string) { g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
	write(h.Settings())
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	reloaded := make(chan site.Settings, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, hup, file, hclog.NewNullLogger(), func(s site.Settings) { reloaded <- s })
	time.Sleep(100 * time.Millisecond)

	h.Seeds = []string{"127.0.0.2"}
	write(h.Settings())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	var s site.Settings
	g.Eventually(reloaded, 5*time.Second).Should(Receive(&s))
	g.Expect(s.Seeds).To(Equal([]string{"127.0.0.2:0"}))

	write("node_name: [")
	g.Consistently(reloaded, settingsPollInterval+500*time.Millisecond).ShouldNot(Receive(), "an invalid file must leave the settings unchanged")
	h.Seeds = []string{"127.0.0.3"}
	write(h.Settings())
	g.Eventually(reloaded, 5*time.Second).Should(Receive(&s), "a changed file must be reloaded without a signal")
	g.Expect(s.Seeds).To(Equal([]string{"127.0.0.3:0"}))
}

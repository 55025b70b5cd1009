package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// shortGrace makes a stop last 1.5 s, less than the deadlines of requests.
var shortGrace = settings.Overrides{"entries_ttl": json.RawMessage(`"1s"`), "drain_grace": json.RawMessage(`"500ms"`)}

// Guards against commands that a stopping host runs for another although they outlast its grace
// period, as their home or at its targets, and that end as unknown.
func TestGracefulShutdownRefusesLateCommands(t *testing.T) {
	g := NewWithT(t)
	f, north, south := startPlaces(t, shortGrace)
	own, other := south.ticket(g), north.ticket(g)
	g.Expect(north.lookup("orders", own+"answered")).To(Succeed())
	open := north.lookups("orders", own+"open", 1)
	awaitLookups(g, f, "orders-0", 2)
	g.Expect(south.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	stopping := time.Now()
	time.Sleep(100 * time.Millisecond)
	for _, late := range []struct {
		host   *hostProcess
		ticket string
	}{{north, own}, {south, own}, {north, other}} {
		began := time.Now()
		err := late.host.lookup("orders", late.ticket+"late-"+fmt.Sprint(began.UnixNano()))
		g.Expect(err).To(MatchError(ContainSubstring("not_run")))
		g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	}
	for _, host := range []*hostProcess{north, south} {
		g.Expect(host.lookup("orders", own+"answered")).To(Succeed(), "a result that is known needs no time")
	}
	g.Expect(<-open).To(MatchError(ContainSubstring("still running")))
	g.Expect(time.Since(stopping)).To(BeNumerically("<", 1500*time.Millisecond))
	g.Expect(south.cmd.Wait()).To(Succeed(), south.log.String())
	g.Expect(f.Searchers["orders-0"].Counts().Lookups.Load()).To(Equal(int64(2)))
}

// Guards against open requests that last until the end of the grace period and leave a home no
// time to hand over its results.
func TestGracefulShutdownHandsOverAtTheEnd(t *testing.T) {
	g := NewWithT(t)
	f, north, south := startPlaces(t, shortGrace)
	own := south.ticket(g)
	g.Expect(south.lookup("orders", own+"answered")).To(Succeed())
	open := openSearch(g, f, south)
	began := time.Now()
	g.Expect(south.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(<-open).NotTo(HaveOccurred())
	g.Expect(south.cmd.Wait()).To(Succeed(), south.log.String())
	t.Logf("stopped after %s", time.Since(began))
	g.Expect(north.lookup("orders", own+"answered")).To(Succeed())
	g.Expect(north.lookup("orders", own+"never")).To(MatchError(ContainSubstring("not_run")))
	g.Expect(f.Searchers["orders-0"].Counts().Lookups.Load()).To(Equal(int64(1)))
}

// Guards against a command that stays unknown because its home stopped while it ran, although
// the host at whose target it ran has the answer.
func TestGracefulShutdownKeepsLaterAnswers(t *testing.T) {
	g := NewWithT(t)
	f, north, south, west := startThreePlaces(t)
	own := north.ticket(g)
	open := north.lookups("orders", own+"open", 1)
	awaitLookups(g, f, "orders-0", 1)
	g.Expect(north.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Expect(<-open).To(MatchError(ContainSubstring("still running")))
	g.Expect(north.cmd.Wait()).To(Succeed(), north.log.String())
	g.Eventually(func() error { return south.lookup("orders", own+"open0") }, "5s", "100ms").Should(Succeed())
	g.Expect(west.lookup("orders", own+"open0")).To(Succeed(), "it asks the host of the target")
	g.Expect(f.Searchers["orders-0"].Counts().Lookups.Load()).To(Equal(int64(1)))
}

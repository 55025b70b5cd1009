package daemon_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("Shares of an ordinal's processes", func() {
	const service, place = "exhibitor-portal", "riga-c"
	oneHost := func(d *settings.Document) {
		p := d.Places[place]
		p.Hosts = 1
		d.Places[place] = p
	}
	owned := func(t *tier, place string) (infos []*settings.TargetInfo) {
		t.Tree().Targets(func(info *settings.TargetInfo) {
			if info.Place == place {
				infos = append(infos, info)
			}
		})
		return infos
	}
	hostAt := func(t *tier, place string, ordinal int) *fleet.Host {
		for _, h := range t.Running() {
			if h.Entry.Place == place && h.Entry.Ordinal == ordinal {
				return h
			}
		}
		return nil
	}
	ask := func(ctx context.Context, t *tier) {
		for _, h := range t.Running() {
			if h.Entry.Place != place {
				var answer api.SearchResponse
				t.post(ctx, h, "/v1/services/"+service+"/search", "", 0, api.SearchRequest{Terms: []string{"oak"}, Limit: 5, MinCoverage: 1}, &answer)
			}
		}
	}

	// Guards against a new process that uses the share of its ordinal while an earlier
	// one may still use it, and against a first process that waits although no
	// earlier one existed.
	It("are usable takeover_wait after the start of a replacement, and earlier in the first process", func(ctx context.Context) {
		began := time.Now()
		t := startTier(ctx, []string{service}, oneHost)
		targets := owned(t, place)
		old := hostAt(t, place, 0)
		Eventually(func() bool { return old.Daemon.MayUseShare(targets[0].ID) }).WithTimeout(membership.TakeoverWait).Should(BeTrue())
		first := time.Since(began)
		Expect(first).To(BeNumerically("<", membership.TakeoverWait))

		Expect(t.StopHost(old, false)).To(Succeed())
		Expect(t.Unlist(old)).To(Succeed())
		count := func() (n int64) {
			for _, info := range targets {
				n += t.Searchers[info.ID].Counts().Searches.Load()
			}
			return n
		}
		started := time.Now() // before the start of the new process
		replacement, err := t.AddHost(ctx, place, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(replacement.Daemon.Ready()).WithTimeout(20 * time.Second).Should(BeClosed())
		before := count()
		for {
			got := count()
			if time.Since(started) >= membership.TakeoverWait {
				break
			}
			Expect(got).To(Equal(before), "requests %s after the start", time.Since(started))
			ask(ctx, t)
		}
		Eventually(func() int64 { ask(ctx, t); return count() }).WithTimeout(20 * time.Second).Should(BeNumerically(">", before))
		fmt.Fprintf(GinkgoWriter, "share usable %s after the first start and %s after the replacement\n", first, time.Since(started))
	}, NodeTimeout(time.Minute))

	// Guards against a planned replacement that leaves its share unused for
	// takeover_wait although the earlier process has stopped.
	It("are usable before takeover_wait if the earlier process has stopped", func(ctx context.Context) {
		t := startTier(ctx, []string{service}, func(d *settings.Document) {
			oneHost(d)
			d.Fleet.Settings = settings.Overrides{"entries_ttl": rawJSON(`"300ms"`)}
		})
		old, target := hostAt(t, place, 0), owned(t, place)[0]
		Eventually(func() bool { return old.Daemon.MayUseShare(target.ID) }).WithTimeout(membership.TakeoverWait).Should(BeTrue())
		Expect(t.StopHost(old, true)).To(Succeed())
		Expect(t.Unlist(old)).To(Succeed())
		began := time.Now()
		replacement, err := t.AddHost(ctx, place, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return replacement.Daemon.MayUseShare(target.ID) }).WithTimeout(membership.TakeoverWait / 2).Should(BeTrue())
		fmt.Fprintf(GinkgoWriter, "share usable %s after the start of the replacement\n", time.Since(began))
	}, NodeTimeout(time.Minute))

	// Guards against a cold target that gets no work while its owner of rank 0 does not
	// run.
	It("pass the cold allowance to the second owner once the first is unlisted", func(ctx context.Context) {
		t := startTier(ctx, []string{service}, func(*settings.Document) {})
		target := owned(t, "riga-a")[0]
		searcher := t.Searchers[target.ID]
		first := hostAt(t, "riga-a", target.Owners[0])
		Expect(t.StopHost(first, false)).To(Succeed())
		searcher.Crash()
		Eventually(searcher.Cold).WithTimeout(20 * time.Second).Should(BeTrue())
		Expect(t.Unlist(first)).To(Succeed())
		unlisted := time.Now()
		Eventually(func() bool { ask(ctx, t); return searcher.Cold() }).WithTimeout(40 * time.Second).Should(BeFalse())
		fmt.Fprintf(GinkgoWriter, "warm %s after the first owner was unlisted\n", time.Since(unlisted))
		Expect(searcher.Counts().OverColdCapacity.Load()).To(BeZero())
	}, NodeTimeout(90*time.Second))
})

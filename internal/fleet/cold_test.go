package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/loadtest"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	loadtest.RunSpecs(t, "fleet")
}

// searchStats counts searches and their answers.
type searchStats struct {
	mu       sync.Mutex
	sent     int
	refused  int
	coverage float64        // sum over the successful searches
	missing  map[string]int // missing groups by reason and message
}

func (t *searchStats) search(ctx context.Context, host string) {
	body, _ := json.Marshal(api.SearchRequest{Terms: []string{"red"}, Limit: 5, MinCoverage: 1})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/services/tagdesk/search", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var answer api.SearchResponse
	err = json.NewDecoder(resp.Body).Decode(&answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if err != nil || resp.StatusCode != http.StatusOK {
		t.refused++
		return
	}
	t.coverage += answer.Coverage
	for _, w := range answer.Warnings {
		t.missing[fmt.Sprintf("%s: %.45s", w.Reason, w.Message)]++
	}
}

func (t *searchStats) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent, t.refused, t.coverage, t.missing = 0, 0, 0, map[string]int{}
}

var _ = Describe("ColdBearable: a place that restarts cold", Label(loadtest.Label), func() {
	// Guards against hosts that together overload restarted targets, and against
	// targets that stay unused because an owner does not detect that they are warm
	// again.
	It("receives no load above its targets' limits and keeps a coverage of at least 0.99", func(ctx context.Context) {
		deployment, err := fleet.Load("../../examples/new-england")
		Expect(err).NotTo(HaveOccurred())
		f, err := fleet.Start(ctx, deployment, hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		loadCtx, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		stats := new(searchStats)
		stats.reset()
		for i := range 24 {
			wg.Go(func() {
				for loadCtx.Err() == nil {
					stats.search(loadCtx, f.Hosts[i%len(f.Hosts)].Entry.Callers)
				}
			})
		}
		defer wg.Wait()
		defer stop()
		// The first second is not measured: on a busy machine the first search of each
		// loop can be incomplete while the hosts open their connections.
		time.Sleep(time.Second)
		stats.reset()
		coldTargets := func() (n int) {
			for id, s := range f.Searchers {
				if s.Place == "boston-hall" && id[:7] == "tagdesk" && s.Cold() {
					n++
				}
			}
			return n
		}
		for id, s := range f.Searchers {
			if s.Place == "boston-hall" && id[:7] == "tagdesk" {
				s.Crash()
			}
		}
		Eventually(coldTargets, "20s").Should(Equal(10))
		Eventually(coldTargets, "30s").Should(BeZero())
		time.Sleep(time.Second)
		stop()
		wg.Wait()
		var overColdCapacity, overloadCrashes, overSlots, overConns int64
		for _, s := range f.Searchers {
			overColdCapacity += s.Counts().OverColdCapacity.Load()
			overloadCrashes += s.Counts().OverloadCrashes.Load()
			overSlots += s.Counts().OverSlots.Load()
			overConns += s.Counts().OverConns.Load()
		}
		fmt.Fprintf(GinkgoWriter, "%d searches, %d refused, coverage %.4f, over cold capacity %d, overload crashes %d, over slots %d, over connections %d, missing %v\n",
			stats.sent, stats.refused, stats.coverage/float64(stats.sent), overColdCapacity, overloadCrashes, overSlots, overConns, stats.missing)
		Expect([]int64{overColdCapacity, overloadCrashes, overSlots, overConns}).To(Equal([]int64{0, 0, 0, 0}))
		Expect(stats.coverage / float64(stats.sent)).To(BeNumerically(">=", 0.99))
	}, NodeTimeout(90*time.Second))
})

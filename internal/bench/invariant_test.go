package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/knownred"
	"github.com/lacewingyard/lacewingyard/internal/loadtest"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const testService = "exhibitor-portal" // finishes early only at coverage 1

// checkedDeployment is a deployment with one service and callers that check every answer.
type checkedDeployment struct {
	*fleet.Fleet
	cluster      cluster
	checker      *checker
	rng          *rand.Rand // draws the faults
	seed         uint64
	hiddenSplits bool // groups may be split in the middle without a new configuration

	mu         sync.Mutex
	answers    int
	refused    int            // requests without an answer, not run or unknown
	refusals   map[string]int // the same requests by outcome and reason
	coverage   float64        // sum over the answers
	violations Violations
	missing    map[string]int // missing groups of answers, by group and reason
	sample     string         // last failed or incomplete request
}

func startCheckedDeployment(ctx context.Context, policy Policy, seed uint64, overrides settings.Overrides) *checkedDeployment {
	d, err := fleet.Load("../../examples/riga")
	Expect(err).NotTo(HaveOccurred())
	d.Document.Services = map[string]settings.Service{testService: d.Document.Services[testService]}
	for name, value := range overrides {
		d.Document.Fleet.Settings[name] = value
	}
	f, c, err := startCluster(ctx, d, policy, seed, hclog.NewNullLogger())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.close(); f.Close() })
	dep := &checkedDeployment{Fleet: f, cluster: c, checker: newChecker(f.Datasets), rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, missing: map[string]int{}, refusals: map[string]int{}}
	dep.checker.addConfig(&d.Document)
	return dep
}

// load starts callers, each of which sends one search after the other. stop ends the
// callers and waits for their open requests. next returns the address for a caller's next search.
func (dep *checkedDeployment) load(ctx context.Context, callers int, next func(ctx context.Context, c *caller, i int) string) (stop func()) {
	var wg sync.WaitGroup
	var done atomic.Bool
	for i := range callers {
		c := newCaller(0, dep.cluster.addresses, rand.New(rand.NewPCG(dep.seed, uint64(100+i))))
		rng := rand.New(rand.NewPCG(dep.seed, uint64(1000+i)))
		wg.Go(func() {
			defer c.close()
			for n := 0; !done.Load() && ctx.Err() == nil; n++ {
				q := &query{service: testService, kind: settings.KindSearch}
				q.search = api.SearchRequest{Terms: []string{standin.RandomWord(rng), standin.RandomWord(rng)}[:1+n%2], Limit: rng.IntN(3) * 10}
				id := fmt.Sprintf("%d-%d", i, n)
				dep.check(q, id, c.sendTo(ctx, api.Entry{Address: next(ctx, c, i)}, q, id))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() { done.Store(true); wg.Wait() }
}

// spreadOverHosts assigns each caller one of the hosts.
func (dep *checkedDeployment) spreadOverHosts() func(context.Context, *caller, int) string {
	addresses := dep.cluster.addresses()
	return func(_ context.Context, _ *caller, i int) string { return addresses[i%len(addresses)] }
}

func (dep *checkedDeployment) check(q *query, id string, r reply) {
	var v Violations
	if r.search != nil {
		v = dep.checker.checkSearch(&q.search, r.search)
		if r.search.RequestID != id {
			v.WrongRecord++
		}
		if dep.hiddenSplits && r.search.Coverage > dep.provenCoverage(q, r.search)+1e-6 {
			v.OverCoverage++
		}
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	if r.search == nil {
		dep.refused++
		dep.refusals[fmt.Sprint(r.outcome.Kind, " ", r.outcome.Reason)]++
		dep.sample = fmt.Sprintf("refused: %+v", r.outcome)
		return
	}
	dep.answers++
	dep.coverage += r.search.Coverage
	for _, warning := range r.search.Warnings {
		dep.missing[fmt.Sprint(warning.Group, " ", warning.Reason)]++
		dep.sample = fmt.Sprintf("last missing group: %+v after %.0f ms", warning, r.search.ElapsedMS)
	}
	dep.violations.add(v)
	if v.Total() > 0 {
		dep.sample = fmt.Sprintf("%+v: search %+v returned %d records, coverage %v, %v", v, q.search, len(r.search.Records), r.search.Coverage, r.search.Warnings)
	}
}

// provenCoverage returns the highest coverage that an answer's warnings and records
// permit. A group with a warning counts at most by one half, and only if the answer has
// a limit or lacks no match of that half.
func (dep *checkedDeployment) provenCoverage(q *query, a *api.SearchResponse) float64 {
	keys := keyspace.Size
	for _, warning := range a.Warnings {
		r := dep.checker.groupRanges[warning.Group] // constant in these tests, so read without the lock
		keys -= r.Len()
		middle := r.From + r.Len()/2
		for _, half := range []keyspace.Range{{From: r.From, To: middle}, {From: middle, To: r.To}} {
			found := dep.Datasets[testService].SearchRange(a.Snapshot, q.search.Terms, 0, half)
			if q.search.Limit > 0 || !lacksMatch(a.Records, found, 0, new(keyspace.Set)) {
				keys += half.Len()
				break
			}
		}
	}
	return float64(keys) / float64(keyspace.Size)
}

// report prints the results and returns the mean coverage. The load must have stopped.
func (dep *checkedDeployment) report() (meanCoverage float64) {
	meanCoverage = dep.coverage / float64(max(1, dep.answers))
	fmt.Fprintf(GinkgoWriter, "seed %d: %d answers, coverage %.4f, refused %v, groups missing %v, violations %+v; %s\n",
		dep.seed, dep.answers, meanCoverage, dep.refusals, dep.missing, dep.violations, dep.sample)
	return meanCoverage
}

// searcher returns a searcher of the test service.
func (dep *checkedDeployment) searcher(group, replica int) *standin.Searcher {
	return dep.Searchers[dep.Tree().Doc.Services[testService].Groups[group].Targets[replica].ID]
}

// randomSearcher returns a random searcher of the test service.
func (dep *checkedDeployment) randomSearcher() *standin.Searcher {
	group, replica := dep.rng.IntN(10), dep.rng.IntN(3)
	return dep.searcher(group, replica)
}

// expectGrowth expects a count to grow by more than delta within a time.
func expectGrowth(count func() int64, delta int64, within time.Duration, why string) {
	before := count()
	Eventually(count, within).Should(BeNumerically(">", before+delta), why)
}

// repeatFault applies a fault repeatedly for a time.
func repeatFault(ctx context.Context, length, every time.Duration, fault func()) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		fault()
		sleepUntil(ctx, time.Now().Add(every))
	}
}

var _ = Describe("Invariants", func() {
	// Guards against answers merged from two index versions while replicas load a new
	// version and drop the old one at different times, and some crash.
	DescribeTable("OneSnapshot", func(ctx context.Context, policy Policy, seed uint64) {
		dep := startCheckedDeployment(ctx, policy, seed, nil)
		dep.Network.SetLinks(dep.Model.OneWayDelayMS, 0.02)
		stop := dep.load(ctx, 16, dep.spreadOverHosts())
		newest := uint64(1)
		repeatFault(ctx, 4*time.Second, 40*time.Millisecond, func() {
			s := dep.randomSearcher()
			if dep.rng.IntN(20) == 0 {
				newest++
				s.Crash()
			}
			s.SetVersions(max(1, newest-1), newest)
		})
		stop()
		dep.report()
		Expect(dep.answers).To(BeNumerically(">", 20))
		if policy == PolicyNaive {
			Expect(dep.violations.TwoSnapshots).To(BeNumerically(">", 0))
			return
		}
		Expect(dep.violations).To(Equal(Violations{}), dep.sample)
	},
		Entry("seed 1", PolicyTier, uint64(1), NodeTimeout(time.Minute)),
		Entry("seed 2", PolicyTier, uint64(2), NodeTimeout(time.Minute)),
		Entry("naive", PolicyNaive, uint64(1), NodeTimeout(time.Minute)),
	)

	// Guards against hosts with an old configuration that still send requests to a place 3 s
	// after the first host has the configuration that takes the place out of service, and
	// against a place that stays unused after its return to service.
	DescribeTable("PlaceOut", func(ctx context.Context, policy Policy, seed uint64) {
		dep := startCheckedDeployment(ctx, policy, seed, nil)
		places := []string{"riga-a", "riga-b", "riga-c"}
		out, readerPlace := places[dep.rng.IntN(3)], places[dep.rng.IntN(3)]
		for _, h := range dep.Hosts {
			if h.Entry.Place != readerPlace {
				dep.Platform.SetMaxVersion(h.Entry.Name, dep.Tree().Doc.Version)
			}
		}
		dep.Network.SetLinks(dep.Model.OneWayDelayMS, 0.05)
		searches := func() (n int64) {
			for _, s := range dep.Searchers {
				if s.Place == out {
					n += s.Counts().Searches.Load()
				}
			}
			return n
		}
		stop := dep.load(ctx, 16, dep.spreadOverHosts())
		defer stop()
		expectGrowth(searches, 20, 5*time.Second, "the place is used")
		in := &injector{fleet: dep.Fleet, checker: dep.checker}
		Expect(in.setPlace(out, false)).To(Succeed())
		Eventually(func() bool {
			inForce := len(dep.Hosts) == 0 // naive hosts read the configuration at once
			for _, h := range dep.Hosts {
				inForce = inForce || h.Daemon.Status().ConfigVersion == dep.Tree().Doc.Version
			}
			return inForce
		}, "6s", "5ms").Should(BeTrue())
		time.Sleep(3 * time.Second)
		before := searches()
		time.Sleep(time.Second)
		late := searches() - before
		Expect(in.setPlace(out, true)).To(Succeed())
		expectGrowth(searches, 20, 10*time.Second, "the place is used again")
		stop()
		coverage := dep.report()
		fmt.Fprintf(GinkgoWriter, "%s out of service, configuration read by hosts of %s: %d sub-requests later than 3 s\n", out, readerPlace, late)
		if policy == PolicyNaive {
			Expect(late).To(BeNumerically(">", 0))
			return
		}
		Expect(late).To(BeZero())
		Expect(dep.violations).To(Equal(Violations{}), dep.sample)
		Expect(coverage).To(BeNumerically(">", 0))
	},
		Entry("seed 1", PolicyTier, uint64(1), NodeTimeout(time.Minute)),
		Entry("seed 2", PolicyTier, uint64(2), NodeTimeout(time.Minute)),
		Entry("naive", PolicyNaive, uint64(1), NodeTimeout(time.Minute)),
	)

	// Guards against coverage claimed for keys whose records were not searched, while
	// replicas crash and searchers split groups without a new configuration.
	DescribeTable("TrueCoverage", func(ctx context.Context, policy Policy, seed uint64) {
		dep := startCheckedDeployment(ctx, policy, seed, nil)
		dep.checker.markSplit(testService)
		dep.hiddenSplits = true
		groups := dep.Tree().Doc.Services[testService].Groups
		stop := dep.load(ctx, 16, dep.spreadOverHosts())
		epoch := uint64(1)
		repeatFault(ctx, 4*time.Second, 150*time.Millisecond, func() {
			epoch++
			for g := range groups {
				split := dep.rng.IntN(4) == 0
				for r := range groups[g].Targets {
					part := groups[g].Range
					if middle := part.From + part.Len()/2; split && r%2 == 0 {
						part.To = middle
					} else if split {
						part.From = middle
					}
					dep.searcher(g, r).SetRange(dep.Datasets[testService], part, epoch)
				}
			}
			lost := dep.rng.IntN(len(groups))
			for r := range 1 + dep.rng.IntN(3) {
				dep.searcher(lost, r).Crash()
			}
		})
		stop()
		coverage := dep.report()
		Expect(dep.answers).To(BeNumerically(">", 20))
		Expect(coverage).To(BeNumerically("<", 1), "no answer lacked a group, so the run checks nothing")
		if policy == PolicyNaive {
			Expect(dep.violations.OverCoverage).To(BeNumerically(">", 0))
			return
		}
		Expect(dep.violations).To(Equal(Violations{}), dep.sample)
	},
		Entry("seed 1", PolicyTier, uint64(1), NodeTimeout(time.Minute)),
		Entry("seed 2", PolicyTier, uint64(2), NodeTimeout(time.Minute)),
		Entry("seed 3", PolicyTier, uint64(3), NodeTimeout(time.Minute)),
		Entry("naive", PolicyNaive, uint64(1), NodeTimeout(time.Minute)),
	)

	// Guards against answers that belong to another query, lack parts or mix index
	// versions when parts arrive late over lossy links, targets are stuck or silent, and
	// a new version is rolled out; also against a coverage below 0.99 in these conditions.
	DescribeTable("OwnAnswer", Label(loadtest.Label), func(ctx context.Context, policy Policy, seed uint64) {
		dep := startCheckedDeployment(ctx, policy, seed, nil)
		dep.Network.SetLinks(2*dep.Model.OneWayDelayMS, 0.02)
		for group := range 2 {
			s := dep.searcher(dep.rng.IntN(5)+5*group, dep.rng.IntN(3))
			s.SetFaults(standin.Faults{Stuck: true})
			fmt.Fprintf(GinkgoWriter, "stuck: %s\n", s.ID)
		}
		stop := dep.load(ctx, 16, dep.spreadOverHosts())
		repeatFault(ctx, 4*time.Second, 200*time.Millisecond, func() {
			dep.randomSearcher().SilenceConnections()
			dep.randomSearcher().SetVersions(1, 2)
		})
		stop()
		coverage := dep.report()
		Expect(dep.answers).To(BeNumerically(">", 20))
		if policy == PolicyNaive {
			Expect(dep.violations.TwoSnapshots).To(BeNumerically(">", 0))
			Expect(coverage).To(BeNumerically("<", 0.99))
			return
		}
		Expect(dep.violations).To(Equal(Violations{}), dep.sample)
		if seed == 1 {
			knownred.Skip(GinkgoT(), "Invariants OwnAnswer seed 1")
		} else {
			knownred.Skip(GinkgoT(), "Invariants OwnAnswer seed 2")
		}
		Expect(coverage).To(BeNumerically(">=", 0.99))
	},
		Entry("seed 1", PolicyTier, uint64(1), NodeTimeout(time.Minute)),
		Entry("seed 2", PolicyTier, uint64(2), NodeTimeout(time.Minute)),
		Entry("naive", PolicyNaive, uint64(1), NodeTimeout(time.Minute)),
	)

	// Guards against a graceful shutdown that cuts open requests or refuses callers which
	// use an address until its entries response expires. The naive entry of the table
	// crashes the hosts instead, which callers must notice.
	DescribeTable("GracefulShutdown", Label(loadtest.Label), func(ctx context.Context, graceful bool, seed uint64) {
		dep := startCheckedDeployment(ctx, PolicyTier, seed, settings.Overrides{"entries_ttl": []byte(`"700ms"`)})
		stop := dep.load(ctx, 16, func(ctx context.Context, c *caller, _ int) string {
			if requested := time.Now(); !requested.Before(c.expires) {
				if c.renewEntries(ctx) == nil {
					c.expires = c.expires.Add(-time.Since(requested)) // the TTL counts from the request
				}
			}
			if len(c.entries) == 0 {
				return ""
			}
			return c.entries[c.rng.IntN(len(c.entries))].Address
		})
		for range 3 {
			expectGrowth(func() int64 { dep.mu.Lock(); defer dep.mu.Unlock(); return int64(dep.answers) }, 50, 10*time.Second, "callers receive answers")
			running := dep.Running()
			err := dep.StopHost(running[dep.rng.IntN(len(running))], graceful)
			if graceful {
				Expect(err).NotTo(HaveOccurred())
			}
		}
		stop()
		dep.report()
		if !graceful {
			Expect(dep.refused).To(BeNumerically(">", 0))
			return
		}
		Expect(dep.refusals).To(BeEmpty(), dep.sample)
		Expect(dep.violations).To(Equal(Violations{}), dep.sample)
	},
		Entry("seed 1", true, uint64(1), NodeTimeout(time.Minute)),
		Entry("seed 2", true, uint64(2), NodeTimeout(time.Minute)),
		Entry("naive", false, uint64(1), NodeTimeout(time.Minute)),
	)
})

package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	commandService = "order-desk"
	commandPath    = "/v1/services/" + commandService + "/lookup"
	longDeadline   = 5 * time.Second
)

// commandWorkload sends and resends commands while faults are injected.
type commandWorkload struct {
	*tier
	tickets bool
	seed    uint64

	mu            sync.Mutex
	finalOutcomes map[string]outcome.Outcome // by request identifier, after the faults
	falseNotRun   []string                   // commands reported as "not run" although they had run
	sent          int                        // without the sends that the caller canceled
	unknown       int                        // of sent
	unknownCauses map[string]int             // of unknown, by reason and message
}

// causeOf returns the reason and the message of an outcome without host names.
func causeOf(o outcome.Outcome) string {
	message, _, _ := strings.Cut(namedHome.ReplaceAllString(o.Message, "home"), ":")
	return string(o.Reason) + ", " + message
}

var namedHome = regexp.MustCompile(`home \S+`)

// newID returns a new request identifier, with the ticket of a random host.
func (s *commandWorkload) newID(ctx context.Context, rng *rand.Rand, n int) string {
	if !s.tickets {
		return fmt.Sprintf("naive-%d", n)
	}
	var ticket api.TicketResponse
	for ctx.Err() == nil { // the host may be shutting down
		if s.post(ctx, s.host(rng), "/v1/tickets", "", 0, nil, &ticket).Kind == outcome.Answered {
			break
		}
	}
	return fmt.Sprintf("%s%d", ticket.TicketPrefix, n)
}

// request sends one command in one to four rounds of one to three concurrent sends,
// some of which the caller cancels early.
func (s *commandWorkload) request(ctx context.Context, rng *rand.Rand, id, record string) {
	for round := range 1 + rng.IntN(4) {
		sends := 1
		if rng.IntN(2) == 0 {
			sends += rng.IntN(3)
		}
		outcomes := make([]outcome.Outcome, sends)
		var wg sync.WaitGroup
		for i := range sends {
			host, callerTimeout := s.host(rng), time.Duration(5+rng.IntN(400))*time.Millisecond
			wg.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(ctx, callerTimeout)
				defer cancel()
				outcomes[i] = s.send(ctx, host, id, record, 300*time.Millisecond)
			})
		}
		wg.Wait()
		if sends == 1 && outcomes[0].DidNotRun() && s.runs()[id] > 0 {
			s.mu.Lock()
			s.falseNotRun = append(s.falseNotRun, fmt.Sprintf("%s in round %d: %v", id, round, outcomes[0]))
			s.mu.Unlock()
		}
	}
}

func (s *commandWorkload) send(ctx context.Context, host *fleet.Host, id, record string, deadline time.Duration) outcome.Outcome {
	var answer api.LookupResponse
	o := s.post(ctx, host, commandPath, id, deadline, api.LookupRequest{ID: record}, &answer)
	if o.Kind == outcome.Answered && (answer.Record == nil || answer.Record.ID != record) {
		Fail(fmt.Sprintf("request %s for %s got %v", id, record, answer.Record))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.sent++
		if o.Kind == outcome.Unknown {
			s.unknown++
			if s.unknownCauses == nil {
				s.unknownCauses = map[string]int{}
			}
			s.unknownCauses[causeOf(o)]++
		}
	}
	return o
}

// faults injects random faults until the context ends, then repairs the links.
func (s *commandWorkload) faults(ctx, fleetCtx context.Context, rng *rand.Rand) {
	ids := searchersOf(s.tier, commandService)
	var cuts [][2]string
	var order []int
	cut := func(on bool) {
		oneWay := on && rng.IntN(3) == 0
		for _, c := range cuts {
			s.Network.SetBlocked(c[0], c[1], on)
			s.Network.SetBlocked(c[1], c[0], on && !oneWay)
		}
	}
	defer func() { cut(false) }()
	for step := 0; ctx.Err() == nil; step++ {
		if step%12 == 0 {
			order = rng.Perm(12) // each kind of fault occurs within 12 steps
		}
		searcher := s.Searchers[ids[rng.IntN(len(ids))]]
		switch order[step%12] {
		case 0:
			searcher.Crash()
		case 1, 2, 3:
			searcher.SilenceConnections()
		case 4, 5, 6:
			cut(false)
			cuts = [][2]string{{s.host(rng).Entry.Peers, s.host(rng).Entry.Peers}, {s.host(rng).Entry.Peers, s.host(rng).Entry.Place}}
			cut(true)
		case 7:
			s.replace(fleetCtx, s.host(rng))
		}
		select {
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// searchersOf returns the sorted identifiers of the targets of a service.
func searchersOf(t *tier, service string) []string {
	var ids []string
	for id := range t.Searchers {
		if id[:len(service)] == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// run sends the commands under faults and then, without faults, resends each once.
func (s *commandWorkload) run(ctx context.Context) {
	const workers, each = 8, 15
	for i, id := range searchersOf(s.tier, commandService) {
		s.Searchers[id].SetFaults(standin.Faults{
			SlowRatio: 0.1, SlowFactor: 20, ShedRatio: 0.05, CrashRatio: 0.02 * float64(i%2),
		})
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	var faults, callers sync.WaitGroup
	faults.Go(func() {
		defer GinkgoRecover()
		s.faults(faultCtx, ctx, rand.New(rand.NewPCG(s.seed, 0)))
	})
	records := map[string]string{}
	for w := range workers {
		rng := rand.New(rand.NewPCG(s.seed, uint64(w+1)))
		callers.Go(func() {
			defer GinkgoRecover()
			for n := range each {
				id, record := s.newID(ctx, rng, w*each+n), s.Datasets[commandService].RandomID(rng)
				s.mu.Lock()
				records[id] = record
				s.mu.Unlock()
				s.request(ctx, rng, id, record)
			}
		})
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	for _, id := range searchersOf(s.tier, commandService) {
		s.Searchers[id].SetFaults(standin.Faults{})
	}
	s.finalOutcomes = map[string]outcome.Outcome{}
	rng := rand.New(rand.NewPCG(s.seed, 99))
	for id, record := range records {
		o := s.send(ctx, s.host(rng), id, record, longDeadline)
		s.finalOutcomes[id] = o
		if recorded := strings.HasPrefix(o.Message, "no answer"); recorded && s.tickets {
			repeated := s.send(ctx, s.host(rng), id, record, longDeadline)
			Expect(repeated.Kind).To(Equal(outcome.Unknown), "%s was %v, then %v", id, o, repeated)
		}
	}
}

var _ = Describe("AtMostOnce", func() {
	// Guards against a second run of a command and against a false "not run" under caller
	// timeouts, replaced homes, cut links, silent connections and targets that crash after
	// receipt. The naive version, which retries after any failure without tickets, must run
	// some request more than once.
	DescribeTable("and NotRunIsTrue", func(ctx context.Context, seed uint64, naive bool) {
		t := startTier(ctx, []string{commandService}, func(d *settings.Document) {
			if naive {
				service := d.Services[commandService]
				service.Kind = settings.KindLookup
				d.Services[commandService] = service
			}
		})
		s := &commandWorkload{tier: t, tickets: !naive, seed: seed}
		s.run(ctx)
		repeated, homeUnavailable, unknown, ranUnknown := 0, 0, 0, 0
		runs := t.runs()
		for id, o := range s.finalOutcomes {
			if runs[id] > 1 {
				repeated++
			}
			if o.Kind == outcome.Unknown && runs[id] > 0 {
				ranUnknown++
			}
			switch {
			case o.Kind == outcome.Unknown && o.Reason == outcome.Unavailable:
				homeUnavailable++
			case o.Kind == outcome.Unknown:
				unknown++
			}
			if !naive {
				Expect(runs[id]).To(BeNumerically("<=", 1), id)
				Expect(o.Kind == outcome.Answered && runs[id] != 1).To(BeFalse(), "%s: %v after %d runs", id, o, runs[id])
				Expect(o.Kind == outcome.NotRun && runs[id] != 0).To(BeFalse(), "%s: %v after %d runs", id, o, runs[id])
			}
		}
		fmt.Fprintf(GinkgoWriter, "seed %d naive %t: %d requests, %d ran again; unknown at the end: %d whose home is unavailable, %d others, %d of both ran; %d of %d sends unknown: %v\n",
			seed, naive, len(s.finalOutcomes), repeated, homeUnavailable, unknown, ranUnknown, s.unknown, s.sent, s.unknownCauses)
		if naive {
			Expect(repeated).To(BeNumerically(">", 0))
			return
		}
		Expect(s.falseNotRun).To(BeEmpty())
	},
		Entry("seed 1", uint64(1), false, NodeTimeout(2*time.Minute)),
		Entry("seed 2", uint64(2), false, NodeTimeout(2*time.Minute)),
		Entry("naive", uint64(1), true, NodeTimeout(2*time.Minute)),
	)

	// Guards against requests that are lost or end as unknown although nothing fails,
	// against a resend that runs again, and against a command that runs without a ticket
	// or under the identifier of a command with another body.
	It("answers every command and lookup without faults", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService, "photo-archive"}, func(*settings.Document) {})
		s, rng := &commandWorkload{tier: t, tickets: true}, rand.New(rand.NewPCG(1, 1))
		for n := range 60 {
			id, record := s.newID(ctx, rng, n), t.Datasets[commandService].RandomID(rng)
			Expect(s.send(ctx, t.host(rng), id, record, longDeadline)).To(Equal(outcome.OK()))
			Expect(s.send(ctx, t.host(rng), id, record, longDeadline)).To(Equal(outcome.OK()), "a resend must get the recorded answer")
			Expect(t.runs()[id]).To(Equal(1))
			var answer api.LookupResponse
			body := api.LookupRequest{ID: t.Datasets["photo-archive"].RandomID(rng)}
			Expect(t.post(ctx, t.host(rng), "/v1/services/photo-archive/lookup", "", longDeadline, body, &answer)).To(Equal(outcome.OK()))
			Expect(answer.Found).To(BeTrue())
		}
		Expect(s.send(ctx, t.host(rng), "no-ticket", "slab-000001", longDeadline).Reason).To(Equal(outcome.Invalid))
		id := s.newID(ctx, rng, 60)
		Expect(s.send(ctx, t.host(rng), id, "slab-000001", longDeadline)).To(Equal(outcome.OK()))
		otherBody := s.send(ctx, t.host(rng), id, "slab-000002", longDeadline)
		Expect(otherBody.Kind).To(Equal(outcome.NotRun), "%v", otherBody)
		Expect(otherBody.Reason).To(Equal(outcome.Invalid))
	}, NodeTimeout(time.Minute))

	// Guards against a ticket for another host which that host does not accept, and
	// against entries without a ticket, with which a command depends on two hosts.
	It("gives a ticket prefix with each address, which that host takes", func(ctx context.Context) {
		t := startTier(ctx, []string{commandService}, func(*settings.Document) {})
		resp, err := t.http.Get("http://" + t.hosts[1].Entry.Callers + "/v1/entries")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var answer api.EntriesResponse
		Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
		Expect(answer.Entries).To(HaveLen(len(t.hosts)))
		for _, e := range answer.Entries {
			i := slices.IndexFunc(t.hosts, func(h *fleet.Host) bool { return h.Entry.Name == e.Host })
			id, err := atmostonce.ParseID(e.TicketPrefix + "x")
			Expect(err).NotTo(HaveOccurred(), e.Host)
			Expect(id.Ticket.Host).To(Equal(e.Host))
			o := t.post(ctx, t.hosts[i], commandPath, e.TicketPrefix+"x", longDeadline, api.LookupRequest{ID: "slab-000001"}, new(api.LookupResponse))
			Expect(o).To(Equal(outcome.OK()))
		}
	}, NodeTimeout(time.Minute))

	// Guards against a lookup that fails, because one target is stuck and another one
	// refuses half of its requests, although a third target could answer the lookup.
	It("retries a lookup on another target after any failure", func(ctx context.Context) {
		const service = "photo-archive"
		t := startTier(ctx, []string{service}, func(*settings.Document) {})
		ids := searchersOf(t, service)
		t.Searchers[ids[0]].SetFaults(standin.Faults{Stuck: true})
		t.Searchers[ids[1]].SetFaults(standin.Faults{ShedRatio: 0.5})
		rng := rand.New(rand.NewPCG(5, 5))
		for range 15 {
			var answer api.LookupResponse
			body := api.LookupRequest{ID: t.Datasets[service].RandomID(rng)}
			Expect(t.post(ctx, t.host(rng), "/v1/services/"+service+"/lookup", "", longDeadline/5, body, &answer)).To(Equal(outcome.OK()))
		}
	}, NodeTimeout(time.Minute))
})

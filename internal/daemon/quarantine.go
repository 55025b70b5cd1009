package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	maxFingerprints = 4096
	// shareLimit bounds how long an answer waits until the peers know that a
	// connection died under its query. A caller that sends the query again at
	// once through another host would otherwise take down another replica.
	shareLimit = 100 * time.Millisecond
	// maxNotices is the number of peers that are told at once; heartbeats
	// reach the others.
	maxNotices = 16
	// maxCanaries is how many targets a query tries to run its canary on.
	maxCanaries = 3
	// canaryShare is the part of the deadline after which a precautionary
	// canary no longer holds up the other groups.
	canaryShare = 4
	// canaryPause is the wait before a canary tries again a target that is
	// down: a searcher that crashed is mostly back within the deadline.
	canaryPause = 25 * time.Millisecond
)

// guard is the quarantine of one host, for both of its roles.
type guard struct {
	self      *settings.Process
	config    *config
	directory *directory
	transport *peer.Transport

	mu       sync.Mutex // guards what follows
	table    *quarantine.Table
	outbox   map[quarantine.Fingerprint]int // heartbeats that still carry an entry
	canaries map[string]chan struct{}       // a token per target: one suspect runs on it at a time
}

func newGuard(self *settings.Process, config *config, directory *directory) *guard {
	return &guard{
		self: self, config: config, directory: directory,
		table: quarantine.NewTable(maxFingerprints), canaries: map[string]chan struct{}{},
		outbox: map[quarantine.Fingerprint]int{},
	}
}

// keep returns how long queries of a service are refused; with no service, what
// the place sets.
func (g *guard) keep(service string) time.Duration {
	return g.config.tree().Effective(g.self.Place, service).QuarantineFor
}

// serviceOf returns the service whose targets died; empty if none is known.
func (g *guard) serviceOf(deaths ...quarantine.Death) string {
	for _, d := range deaths {
		if info, ok := g.config.tree().Target(d.Target); ok {
			return info.Service
		}
	}
	return ""
}

// decide returns the verdict on a query, and where its canary may run.
func (g *guard) decide(fp quarantine.Fingerprint, mode settings.CanaryMode) (quarantine.Verdict, quarantine.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.table.Decide(now, fp, mode), g.table.Plan(now, fp)
}

func (g *guard) died(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool) {
	keep := g.keep(g.serviceOf(d))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Died(time.Now(), fp, d, oneGroup, keep)
}

// saw takes the death of a part that another host reports, unless this host
// has learned of it already.
func (g *guard) saw(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool, known []quarantine.Entry) {
	g.learn(known)
	entry, _ := g.entry(fp)
	if !slices.ContainsFunc(entry.Deaths, func(k quarantine.Death) bool {
		return k.Target == d.Target && k.Answered == quarantine.Nowhere && (k.Canary || !d.Canary)
	}) {
		g.died(fp, d, oneGroup)
	}
}

// succeeded records the answer to a query that ran in a group alone.
func (g *guard) succeeded(fp quarantine.Fingerprint, service, group string) {
	keep := g.keep(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Succeeded(time.Now(), fp, group, keep)
}

// answered records the answer of one group among several.
func (g *guard) answered(fp quarantine.Fingerprint, group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Answered(time.Now(), fp, group)
}

func (g *guard) learn(entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, e := range entries {
		keep := g.keep(g.serviceOf(e.Deaths...))
		if len(g.table.Import(time.Now(), entries[i:i+1], keep)) > 0 {
			g.outbox[e.Fingerprint] = entrySends
		}
	}
}

func (g *guard) entry(fp quarantine.Fingerprint) (quarantine.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entry(time.Now(), fp)
}

// share tells the peers what is known of a fingerprint and returns when they
// have acknowledged it or the limit has passed.
func (g *guard) share(fp quarantine.Fingerprint) {
	entry, ok := g.entry(fp)
	if !ok {
		return
	}
	notice := &wire.QuarantineNotice{Entries: []quarantine.Entry{entry}}
	ctx, cancel := context.WithTimeout(context.Background(), shareLimit)
	defer cancel()
	hosts := g.directory.hosts().list.Hosts
	var wg sync.WaitGroup
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), maxNotices)] {
		if hosts[i].Name == g.self.Name {
			continue
		}
		wg.Go(func() {
			s, err := g.transport.Open(ctx, hosts[i].Peers, wire.ExchangeQuarantine)
			if err != nil {
				return // heartbeats and marked replies bring it later
			}
			defer s.Reset()
			defer context.AfterFunc(ctx, s.Reset)()
			var ack wire.QuarantineAck
			if s.Send(notice) == nil {
				_ = s.Receive(&ack)
			}
		})
	}
	wg.Wait()
}

// serve takes a notice of a peer.
func (g *guard) serve(s *peer.Stream) {
	var notice wire.QuarantineNotice
	if err := s.Receive(&notice); err != nil || g.config.tree() == nil {
		s.Reset()
		return
	}
	g.learn(notice.Entries)
	if err := s.Send(&wire.QuarantineAck{}); err != nil {
		s.Reset()
	}
}

// admit lets a sub-request run on a target of this branch host. A suspect's
// canary waits until no other one is on the target, because the two could not
// be told apart if the target died. release must be called if it may run.
func (g *guard) admit(ctx context.Context, fp quarantine.Fingerprint, req *wire.SearchRequest, part wire.PartRequest) (release func(), refusal outcome.Outcome, ok bool) {
	release = func() {}
	if req.Canary {
		token := g.token(part.Target)
		select {
		case token <- struct{}{}:
			release = func() { <-token }
		case <-ctx.Done():
			return nil, outcome.Refused(outcome.Deadline, "another suspect runs on target %s", part.Target), false
		}
	}
	if entry, known := g.entry(fp); known && entry.Proven > 0 {
		release()
		return nil, quarantined(entry.Proven), false
	}
	if req.Canary && g.refuses(fp, part.Group) {
		release()
		return nil, quarantinedIn(part.Group), false
	}
	return release, outcome.Outcome{}, true
}

// refuses reports whether two canaries of a query died in a group.
func (g *guard) refuses(fp quarantine.Fingerprint, group string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Plan(time.Now(), fp).Held[group].Refuse
}

func (g *guard) token(target string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	token, ok := g.canaries[target]
	if !ok {
		token = make(chan struct{}, 1)
		g.canaries[target] = token
	}
	return token
}

// mark adds to a part what the entry host should know: that the target's
// connection died under it, and what this host knows of the query.
func (g *guard) mark(fp quarantine.Fingerprint, req *wire.SearchRequest, result *wire.PartResult) {
	result.Died = result.Outcome.Kind == outcome.Unknown && result.Outcome.Reason == outcome.ConnLost
	if result.Died {
		g.died(fp, quarantine.Death{Target: result.Target, Group: g.groupOf(result), Canary: req.Canary},
			len(g.config.tree().Doc.Services[req.Service].Groups) < 2)
	}
	if entry, known := g.entry(fp); known && entry.Open() {
		result.Known = []quarantine.Entry{entry}
	}
}

// groupOf returns the group of a part's target. It is another one than the
// part's if the target was asked for keys that the part's group lacks.
func (g *guard) groupOf(part *wire.PartResult) string {
	if info, ok := g.config.tree().Target(part.Target); ok {
		return info.Group
	}
	return part.Group
}

func quarantined(left time.Duration) outcome.Outcome {
	o := outcome.Refused(outcome.Quarantined, "the query crashed its targets")
	o.RetryAfter = left
	return o
}

func quarantinedIn(group string) outcome.Outcome {
	return outcome.Refused(outcome.Quarantined, "the query crashed targets of group %s", group)
}

// canary is the quarantine's part of a search in progress.
type canary struct {
	fp         quarantine.Fingerprint
	holding    bool   // the other groups wait for one target's answer
	suspect    bool   // a connection died under the query before
	group      string // the group that the canary was sent to last
	plan       quarantine.Plan
	known      bool // answers of single groups are recorded
	candidates []canaryPlace
	slow       <-chan time.Time // a precaution holds up the others no longer
	again      <-chan time.Time // the targets that died before are tried again
	wait       bool             // they may be waited for
	giveUp     time.Time        // until then
	died       bool             // a connection died under this query, which is not cleared
	dirty      bool             // a death is to be shared
	shared     sync.WaitGroup
}

// canaryPlace is where a canary may run. Lower scores are tried first, and
// targets that take no work at present last.
type canaryPlace struct {
	group, target string
	score         uint64
	closed        bool
}

// begin sends a query as the quarantine allows: to all groups, to one target
// first, or not at all.
func (g *gather) begin(states []*groupState) {
	g.canary.fp = quarantine.Of(g.service, g.req.Terms)
	g.canary.holding, g.canary.suspect, g.canary.again = false, false, nil // a second plan decides anew
	if g.canary.giveUp.IsZero() {
		g.canary.giveUp = time.Now().Add(remaining(g.ctx) * (canaryShare - 1) / canaryShare)
	}
	verdict, plan := g.entry.guard.decide(g.canary.fp, g.policy.Canary)
	g.canary.plan, g.canary.known = plan, plan.Held != nil || plan.Answered != nil
	switch {
	case verdict == quarantine.Refuse:
		g.refuse(quarantined(0))
	case verdict == quarantine.Canary && len(states) > 0:
		g.canary.holding, g.canary.suspect = true, plan.Suspect
		g.canary.candidates, g.canary.wait = g.candidates(states, plan), plan.Only
		if !g.canary.suspect {
			g.canary.slow = time.After(remaining(g.ctx) / canaryShare)
		}
		g.nextCanary()
	default:
		g.sendHeld(states)
	}
}

// sendHeld sends groups that need not wait for a canary. A group in which the
// query died and that has not answered since gets it as a canary: on one
// target, without hedges or retries.
func (g *gather) sendHeld(states []*groupState) {
	if len(g.canary.plan.Held) == 0 || g.policy.Canary == settings.CanaryNever {
		g.sendAll(states)
		return
	}
	var free, held []*groupState
	for _, state := range states {
		group := state.planned.group.ID
		hold, ok := g.canary.plan.Held[group]
		if !ok {
			free = append(free, state)
			continue
		}
		if hold.Refuse {
			state.last = quarantinedIn(group)
			g.closeIfIdle(state)
			continue
		}
		// The target that died first, so that no sister replica is lost.
		state.only, state.held, state.hedges = hold.Targets[0], true, maxHedges
		held = append(held, state)
	}
	g.sendAll(append(free, held...))
}

// heldElsewhere lets a held group run on the next target in the order of trial
// if the one that died takes no work and had the time to restart.
func (g *gather) heldElsewhere(state *groupState, o outcome.Outcome) bool {
	if g.canary.plan.Held[state.planned.group.ID].Only || !o.RanNothing() || o.Reason == outcome.Quarantined {
		return false
	}
	places := g.usablePlaces(state)
	if len(places) == 0 {
		return false
	}
	state.only = places[0].target
	return true
}

// candidates lists where the canary may run, in the order of trial. The order
// follows from the query and the targets alone, so that hosts that get a killer
// query at the same time lose the same target to it.
func (g *gather) candidates(states []*groupState, plan quarantine.Plan) []canaryPlace {
	var all []canaryPlace
	for _, id := range plan.Prefer {
		if info, ok := g.entry.config.tree().Target(id); ok {
			all = append(all, g.canaryAt(info.Group, id))
		}
	}
	sortPlaces(all)
	if !plan.Only {
		var others []canaryPlace
		for _, state := range states {
			if slices.Contains(plan.Avoid, state.planned.group.ID) {
				continue
			}
			places := g.usablePlaces(state)
			if len(states) > 1 || plan.Suspect {
				places = places[:min(len(places), 1)]
			}
			others = append(others, places...)
		}
		sortPlaces(others)
		all = append(all, others...)
	}
	return all[:min(len(all), maxCanaries)]
}

// usablePlaces returns the usable targets of a group that were not asked yet, in
// the order of trial.
func (g *gather) usablePlaces(state *groupState) []canaryPlace {
	p := state.planned
	var all []canaryPlace
	now := time.Now()
	g.entry.mu.Lock()
	for i, o := range p.options.Options {
		if p.targets[i].Serves(g.merger.Version()) && !state.tried(o.Target) {
			at := g.canaryAt(p.group.ID, o.Target)
			at.closed = !g.entry.router.Open(now, o)
			all = append(all, at)
		}
	}
	g.entry.mu.Unlock()
	sortPlaces(all)
	return all
}

func (g *gather) canaryAt(group, target string) canaryPlace {
	score := xxhash.Sum64String(strconv.FormatUint(uint64(g.canary.fp), 16) + "/" + target)
	return canaryPlace{group: group, target: target, score: score}
}

func sortPlaces(all []canaryPlace) {
	slices.SortFunc(all, func(a, b canaryPlace) int {
		if a.closed != b.closed {
			if b.closed {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
}

// nextCanary sends the canary to the next candidate. Without one left it gives
// the query up.
func (g *gather) nextCanary() {
	for len(g.canary.candidates) > 0 {
		at := g.canary.candidates[0]
		g.canary.candidates = g.canary.candidates[1:]
		state, ok := g.byID[at.group]
		if !ok {
			continue
		}
		g.reopen(state)
		state.only, g.canary.group = at.target, at.group
		g.send([]*groupState{state})
		if g.pending > 0 {
			return
		}
	}
	g.canary.holding = false
	if g.canary.wait && time.Now().Before(g.canary.giveUp) {
		g.reopenAll() // keeps the query going
		g.canary.again = time.After(canaryPause)
		return
	}
	g.refuse(outcome.Refused(outcome.Quarantined, "no target for a canary of the query is usable"))
}

// canaryOwners leaves a suspect's canary to the first listed owner of each
// target, so that the canaries on a target wait for each other on one host.
func (g *gather) canaryOwners(state *groupState) *routing.Group {
	group := &state.planned.options
	if !state.held && !g.suspectCanary() {
		return group
	}
	first := &routing.Group{ID: group.ID, Options: make([]routing.Option, len(group.Options))}
	for i, o := range group.Options {
		first.Options[i] = o.FirstOwner()
	}
	return first
}

// suspectCanary reports whether the canary of a suspect is in progress.
func (g *gather) suspectCanary() bool { return g.canary.holding && g.canary.suspect }

// reopen lets a group be sent again, to targets that it was sent to as well.
func (g *gather) reopen(state *groupState) {
	if state.done {
		state.done = false
		g.open++
	}
	for _, a := range state.attempts {
		a.again = a.ended
	}
	if state.held {
		state.held, state.hedges = false, 0
	}
	state.only, state.retries, state.waiting = "", 0, false
}

// refuse closes the groups that were not sent, with the reason.
func (g *gather) refuse(o outcome.Outcome) {
	for _, state := range g.groups {
		if len(state.attempts) == 0 || state.last.RanNothing() && !g.merger.Covers(state.planned.group.Range) {
			state.last = o
		}
		state.waiting = false
		g.closeIfIdle(state)
	}
}

// reopenAll opens the groups that are neither covered nor in progress, and
// returns them.
func (g *gather) reopenAll() []*groupState {
	var states []*groupState
	for _, state := range g.groups {
		if g.merger.Covers(state.planned.group.Range) || state.inProgress() > 0 {
			continue
		}
		g.reopen(state)
		states = append(states, state)
	}
	return states
}

// canarySlow ends the wait for a precautionary canary that neither answered
// nor died.
func (g *gather) canarySlow() {
	if g.canary.holding && !g.canary.suspect {
		g.release()
	}
}

// release sends the groups that waited for the canary.
func (g *gather) release() {
	g.canary.holding, g.canary.slow = false, nil
	for _, state := range g.groups {
		state.only = ""
	}
	_, g.canary.plan = g.entry.guard.decide(g.canary.fp, g.policy.Canary)
	g.sendHeld(g.reopenAll())
}

// inspect takes what a part says about the quarantine. It returns false if the
// group must not be sent to a sister replica.
func (g *gather) inspect(part *wire.PartResult) (mayRetry bool) {
	guard, state := g.entry.guard, g.byID[part.Group]
	if part.Outcome.Kind == outcome.Answered && g.canary.known {
		guard.answered(g.canary.fp, guard.groupOf(part))
	}
	if !part.Died {
		guard.learn(part.Known)
		return part.Outcome.Reason != outcome.Quarantined && (!state.held || g.heldElsewhere(state, part.Outcome))
	}
	// Only the group's own answer shows that the query does not crash its
	// shard. It allows one sister replica.
	group := guard.groupOf(part)
	mayRetry = g.canary.plan.Answered[group] && !state.held
	delete(g.canary.plan.Answered, group)
	guard.saw(g.canary.fp, quarantine.Death{Target: part.Target, Group: group, Canary: g.suspectCanary() || state.held}, len(g.groups) < 2, part.Known)
	g.canary.dirty = true
	if !mayRetry {
		g.canary.died = true
	}
	if g.canary.holding && !mayRetry {
		g.canary.candidates, g.canary.wait = nil, false
	}
	return mayRetry
}

// settle goes on after events: it shares deaths, and releases the held groups
// or moves the canary on.
func (g *gather) settle() {
	if g.canary.dirty {
		g.canary.dirty = false
		g.canary.shared.Go(func() { g.entry.guard.share(g.canary.fp) })
	}
	if !g.canary.holding {
		return
	}
	if g.merger.Coverage() > 0 {
		g.entry.guard.succeeded(g.canary.fp, g.service, g.canary.group)
		g.canary.known = true
		g.release()
	} else if g.pending == 0 {
		g.moveCanary()
	}
}

// moveCanary goes on after a canary that was refused. If the refusal told that
// the query is a suspect, its canary is planned anew, so that it does not take
// down another target.
func (g *gather) moveCanary() {
	verdict, plan := g.entry.guard.decide(g.canary.fp, g.policy.Canary)
	if !g.canary.died && (verdict == quarantine.Refuse || plan.Suspect && !g.canary.suspect) {
		g.begin(g.reopenAll())
		return
	}
	g.nextCanary()
}

package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const maxFingerprints = 4096

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
func (g *guard) decide(fp quarantine.Fingerprint, version uint64, mode settings.CanaryMode) (quarantine.Verdict, quarantine.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	verdict, plan := g.table.Decide(now, fp, mode), g.table.Plan(now, fp)
	if verdict == quarantine.Canary && mode == settings.CanaryAuto && !plan.Suspect && g.table.IsCleared(fp, version) {
		verdict = quarantine.Run // the precaution is for queries that no host knows
	}
	return verdict, plan
}

func (g *guard) cleared(fp quarantine.Fingerprint, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsCleared(fp, version)
}

// clear records that all groups answered a query.
func (g *guard) clear(fp quarantine.Fingerprint, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.MarkCleared(time.Now(), fp, version)
}

func (g *guard) died(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool) {
	keep := g.keep(g.serviceOf(d))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordDeath(time.Now(), fp, d, oneGroup, keep)
}

// saw takes the death of a part that another host reports, unless this host
// has learned of it already.
func (g *guard) saw(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool, known []quarantine.Entry) {
	g.learn(known)
	entry, _ := g.entry(fp)
	if !slices.ContainsFunc(entry.Deaths, func(k quarantine.Death) bool {
		return k.Target == d.Target && k.Answered == quarantine.NotAnswered && (k.Canary || !d.Canary)
	}) {
		g.died(fp, d, oneGroup)
	}
}

// succeeded records the answer to a query that ran in a group alone.
func (g *guard) succeeded(fp quarantine.Fingerprint, service, group string) {
	keep := g.keep(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordCanarySuccess(time.Now(), fp, group, keep)
}

// answered records the answer of one group among several.
func (g *guard) answered(fp quarantine.Fingerprint, group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordAnswer(time.Now(), fp, group)
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
	if entry, known := g.entry(fp); known && entry.RefusedFor > 0 {
		release()
		return nil, quarantined(entry.RefusedFor), false
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
	return g.table.Plan(time.Now(), fp).Restricted[group].Refuse
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
		g.died(fp, quarantine.Death{Target: result.Target, Group: g.groupOf(result), Canary: req.Canary, Version: req.Version},
			len(g.config.tree().Doc.Services[req.Service].Groups) < 2)
	}
	if entry, known := g.entry(fp); known && entry.Unresolved() {
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

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
type quarantineGuard struct {
	self      *settings.Process
	config    *config
	directory *directory
	transport *peer.Transport

	mu                sync.Mutex // guards what follows
	table             *quarantine.Table
	transmissionsLeft map[quarantine.Fingerprint]int // heartbeats that still carry an entry
	canaryLocks       map[string]chan struct{}       // a token per target: one suspect runs on it at a time
}

func newQuarantineGuard(self *settings.Process, config *config, directory *directory) *quarantineGuard {
	return &quarantineGuard{
		self: self, config: config, directory: directory,
		table: quarantine.NewTable(maxFingerprints), canaryLocks: map[string]chan struct{}{},
		transmissionsLeft: map[quarantine.Fingerprint]int{},
	}
}

// keep returns how long queries of a service are refused; with no service, what
// the place sets.
func (g *quarantineGuard) refusalDuration(service string) time.Duration {
	return g.config.tree().Effective(g.self.Place, service).QuarantineFor
}

// serviceOf returns the service whose targets died; empty if none is known.
func (g *quarantineGuard) serviceOf(deaths ...quarantine.Death) string {
	for _, d := range deaths {
		if info, ok := g.config.tree().Target(d.Target); ok {
			return info.Service
		}
	}
	return ""
}

// decide returns the verdict on a query, and where its canary may run.
func (g *quarantineGuard) decide(fp quarantine.Fingerprint, version uint64, mode settings.CanaryMode) (quarantine.Verdict, quarantine.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	verdict, plan := g.table.Decide(now, fp, mode), g.table.Plan(now, fp)
	if verdict == quarantine.Canary && mode == settings.CanaryAuto && !plan.Suspect && g.table.IsCleared(fp, version) {
		verdict = quarantine.Run // the precaution is for queries that no host knows
	}
	return verdict, plan
}

func (g *quarantineGuard) isCleared(fp quarantine.Fingerprint, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsCleared(fp, version)
}

// clear records that all groups answered a query.
func (g *quarantineGuard) markCleared(fp quarantine.Fingerprint, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.MarkCleared(time.Now(), fp, version)
}

func (g *quarantineGuard) recordDeath(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool) {
	refusedFor := g.refusalDuration(g.serviceOf(d))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordDeath(time.Now(), fp, d, oneGroup, refusedFor)
}

// saw takes the death of a part that another host reports, unless this host
// has learned of it already.
func (g *quarantineGuard) recordReportedDeath(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool, known []quarantine.Entry) {
	g.importEntries(known)
	entry, _ := g.entry(fp)
	if !slices.ContainsFunc(entry.Deaths, func(k quarantine.Death) bool {
		return k.Target == d.Target && k.Answered == quarantine.NotAnswered && (k.Canary || !d.Canary)
	}) {
		g.recordDeath(fp, d, oneGroup)
	}
}

// succeeded records the answer to a query that ran in a group alone.
func (g *quarantineGuard) recordCanarySuccess(fp quarantine.Fingerprint, service, group string) {
	refusedFor := g.refusalDuration(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordCanarySuccess(time.Now(), fp, group, refusedFor)
}

// answered records the answer of one group among several.
func (g *quarantineGuard) recordAnswer(fp quarantine.Fingerprint, group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordAnswer(time.Now(), fp, group)
}

func (g *quarantineGuard) importEntries(entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, e := range entries {
		refusedFor := g.refusalDuration(g.serviceOf(e.Deaths...))
		if len(g.table.Import(time.Now(), entries[i:i+1], refusedFor)) > 0 {
			g.transmissionsLeft[e.Fingerprint] = entryTransmissions
		}
	}
}

func (g *quarantineGuard) entry(fp quarantine.Fingerprint) (quarantine.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entry(time.Now(), fp)
}

// admit lets a sub-request run on a target of this branch host. A suspect's
// canary waits until no other one is on the target, because the two could not
// be told apart if the target died. release must be called if it may run.
func (g *quarantineGuard) admit(ctx context.Context, fp quarantine.Fingerprint, req *wire.SearchRequest, part wire.PartRequest) (release func(), refusal outcome.Outcome, ok bool) {
	release = func() {}
	if req.Canary {
		lock := g.canaryLock(part.Target)
		select {
		case lock <- struct{}{}:
			release = func() { <-lock }
		case <-ctx.Done():
			return nil, outcome.Refused(outcome.Deadline, "another suspect runs on target %s", part.Target), false
		}
	}
	if entry, known := g.entry(fp); known && entry.RefusedFor > 0 {
		release()
		return nil, queryRefusal(entry.RefusedFor), false
	}
	if req.Canary && g.refusesGroup(fp, part.Group) {
		release()
		return nil, groupRefusal(part.Group), false
	}
	return release, outcome.Outcome{}, true
}

// refuses reports whether two canaries of a query died in a group.
func (g *quarantineGuard) refusesGroup(fp quarantine.Fingerprint, group string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Plan(time.Now(), fp).Restricted[group].Refuse
}

func (g *quarantineGuard) canaryLock(target string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	lock, ok := g.canaryLocks[target]
	if !ok {
		lock = make(chan struct{}, 1)
		g.canaryLocks[target] = lock
	}
	return lock
}

// mark adds to a part what the entry host should know: that the target's
// connection died under it, and what this host knows of the query.
func (g *quarantineGuard) annotate(fp quarantine.Fingerprint, req *wire.SearchRequest, result *wire.PartResult) {
	result.Died = result.Outcome.Kind == outcome.Unknown && result.Outcome.Reason == outcome.ConnLost
	if result.Died {
		g.recordDeath(fp, quarantine.Death{Target: result.Target, Group: g.groupOf(result), Canary: req.Canary, Version: req.Version},
			len(g.config.tree().Doc.Services[req.Service].Groups) < 2)
	}
	if entry, known := g.entry(fp); known && entry.Unresolved() {
		result.Known = []quarantine.Entry{entry}
	}
}

// groupOf returns the group of a part's target. It is another one than the
// part's if the target was asked for keys that the part's group lacks.
func (g *quarantineGuard) groupOf(part *wire.PartResult) string {
	if info, ok := g.config.tree().Target(part.Target); ok {
		return info.Group
	}
	return part.Group
}

func queryRefusal(retryAfter time.Duration) outcome.Outcome {
	o := outcome.Refused(outcome.Quarantined, "the query crashed its targets")
	o.RetryAfter = retryAfter
	return o
}

func groupRefusal(group string) outcome.Outcome {
	return outcome.Refused(outcome.Quarantined, "the query crashed targets of group %s", group)
}

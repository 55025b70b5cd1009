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

// maxFingerprints bounds the queries in the quarantine table.
const maxFingerprints = 4096

// quarantineGuard applies the query quarantine on one host, in both of its roles,
// and exchanges quarantine entries with other hosts. A query is a suspect if a target
// died while it ran the query, and cleared if all groups have answered it at an index
// version. Safe for concurrent use.
type quarantineGuard struct {
	self      *settings.Process
	config    *config
	directory *directory
	transport *peer.Transport

	mu                sync.Mutex // guards what follows
	table             *quarantine.Table
	transmissionsLeft map[quarantine.Fingerprint]int // how often each new entry is still to be sent
	nextRefusal       quarantine.Fingerprint         // refusal in force that is sent first with the next heartbeat
	canaryLocks       map[string]chan struct{}       // per target, so that one suspect at a time runs on it
}

func newQuarantineGuard(self *settings.Process, config *config, directory *directory) *quarantineGuard {
	return &quarantineGuard{
		self: self, config: config, directory: directory,
		table: quarantine.NewTable(maxFingerprints), canaryLocks: map[string]chan struct{}{},
		transmissionsLeft: map[quarantine.Fingerprint]int{},
	}
}

// refusalDuration returns how long queries of a service that are proven to crash
// targets are refused. For an empty service it returns the setting of this host's
// place.
func (g *quarantineGuard) refusalDuration(service string) time.Duration {
	return g.config.tree().Effective(g.self.Place, service).QuarantineFor
}

// serviceOf returns the service of the first known target that died, or "".
func (g *quarantineGuard) serviceOf(deaths ...quarantine.Death) string {
	for _, d := range deaths {
		if info, ok := g.config.tree().Target(d.Target); ok {
			return info.Service
		}
	}
	return ""
}

// decide returns how a query may run, and on which targets its canary may run.
func (g *quarantineGuard) decide(fp quarantine.Fingerprint, version uint64, mode settings.CanaryMode) (quarantine.Verdict, quarantine.Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	verdict, plan := g.table.Decide(now, fp, mode), g.table.Plan(now, fp)
	if verdict == quarantine.Canary && mode == settings.CanaryAuto && !plan.Suspect && g.table.IsCleared(fp, version) {
		verdict = quarantine.Run // after a recent death only queries that are not cleared need a canary
	}
	return verdict, plan
}

// isCleared reports whether all groups have answered a query at an index version.
func (g *quarantineGuard) isCleared(fp quarantine.Fingerprint, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsCleared(fp, version)
}

// markCleared records that all groups answered a query at an index version.
func (g *quarantineGuard) markCleared(fp quarantine.Fingerprint, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.MarkCleared(time.Now(), fp, version)
}

// recordDeath records that a target died while it ran a query. oneGroup is true if the
// service has only one group.
func (g *quarantineGuard) recordDeath(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool) {
	refusedFor := g.refusalDuration(g.serviceOf(d))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordDeath(time.Now(), fp, d, oneGroup, refusedFor)
}

// recordReportedDeath records a death that another host reports in a part, unless
// this host has recorded the death already.
func (g *quarantineGuard) recordReportedDeath(fp quarantine.Fingerprint, d quarantine.Death, oneGroup bool, entries []quarantine.Entry) {
	g.importEntries(entries)
	entry, _ := g.entry(fp)
	if !slices.ContainsFunc(entry.Deaths, func(k quarantine.Death) bool {
		return k.Target == d.Target && k.Answered == quarantine.NotAnswered && (k.Canary || !d.Canary)
	}) {
		g.recordDeath(fp, d, oneGroup)
	}
}

// recordCanarySuccess records the answer of the only group in which a query ran.
func (g *quarantineGuard) recordCanarySuccess(fp quarantine.Fingerprint, service, group string) {
	refusedFor := g.refusalDuration(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordCanarySuccess(time.Now(), fp, group, refusedFor)
}

// recordAnswer records the answer of a group of a query that ran in several groups.
func (g *quarantineGuard) recordAnswer(fp quarantine.Fingerprint, group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordAnswer(time.Now(), fp, group)
}

// importEntries adds the entries of another host to the table, and schedules those
// that changed the table for the next heartbeats.
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

// entry returns the entry of a query, or false if the table has none.
func (g *quarantineGuard) entry(fp quarantine.Fingerprint) (quarantine.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Entry(time.Now(), fp)
}

// admit reports whether a sub-request may run on a target of this branch host. The
// canary of a suspect waits until no other canary runs on the target, because a
// death of the target could not be attributed to one of two canaries. If ok is true, the caller
// must call release after the sub-request.
func (g *quarantineGuard) admit(ctx context.Context, fp quarantine.Fingerprint, req *wire.SearchRequest, part wire.PartRequest) (release func(), refusal outcome.Outcome, ok bool) {
	release = func() {}
	if req.Canary {
		lock := g.canaryLock(part.Target)
		select {
		case lock <- struct{}{}:
			release = func() { <-lock }
		case <-ctx.Done():
			return nil, outcome.Refused(outcome.Deadline, "the canary of another suspect runs on target %s", part.Target), false
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

// refusesGroup reports whether a group refuses a query, because two canaries of the
// query crashed targets of the group.
func (g *quarantineGuard) refusesGroup(fp quarantine.Fingerprint, group string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Plan(time.Now(), fp).Restricted[group].Refuse
}

// canaryLock returns the lock of a target: a channel that holds one token while a
// canary runs on the target.
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

// annotate adds to a part's result what the entry host needs for the quarantine:
// whether the target's connection was lost during the part, and this host's entry
// of the query while the query is suspect or refused.
func (g *quarantineGuard) annotate(fp quarantine.Fingerprint, req *wire.SearchRequest, result *wire.PartResult) {
	result.ConnectionLost = result.Outcome.Kind == outcome.Unknown && result.Outcome.Reason == outcome.ConnLost
	if result.ConnectionLost {
		g.recordDeath(fp, quarantine.Death{Target: result.Target, Group: g.groupOf(result), Canary: req.Canary, Version: req.Version},
			len(g.config.tree().Doc.Services[req.Service].Groups) < 2)
	}
	if entry, known := g.entry(fp); known && entry.Unresolved() {
		result.QuarantineEntries = []quarantine.Entry{entry}
	}
}

// groupOf returns the group of a part's target. That group differs from the part's
// if the target was asked for keys that the targets of the part's group lack.
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

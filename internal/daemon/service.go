package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

const (
	// versionReportTTL is how long a target's statement of its versions holds. A
	// version is served for minutes; a target that rolled on without being
	// asked is found again after this time.
	versionReportTTL = 5 * time.Second
	// expiryInterval is how often old statements are looked for.
	expiryInterval = time.Second
	// availabilityInterval is how often the router is told which hosts are silent.
	availabilityInterval = 100 * time.Millisecond
)

// serviceState is what the entry host has learned about one search service,
// with the service's groups prepared for planning. entry.mu guards it.
type serviceState struct {
	tree   *settings.Tree // the configuration and host list that the groups
	hosts  *hosts         // were prepared from
	groups []*plannedGroup
	counts *snapshot.VersionCounts

	latencies *hedge.Latencies
	budget    *hedge.Budget
	load      hedge.Load
	// stated holds the ranges that targets last answered for where these
	// differ from the range of their group.
	reportedRanges map[string][]coverage.Covered
	groupByTarget  map[string]*plannedGroup // group of each usable target
	// gapMisses holds when a target was last asked for the rest of a range and
	// held none of it. It holds for the newest partition epoch seen.
	gapMisses map[string]time.Time
	epoch     uint64
}

// plannedGroup is a group with the targets that configuration and host list
// allow.
type plannedGroup struct {
	group   *settings.Group
	options routing.Group
	targets []*snapshot.Target // by option
	// records is the last statement of the group's record count, and the index
	// version it holds for.
	records        coverage.Covered
	recordsVersion uint64
}

// service returns the state of a service for a configuration. The caller holds
// e.mu.
func (e *entry) service(tree *settings.Tree, name string) *serviceState {
	now := time.Now()
	e.updateAvailability(now)
	if now.Sub(e.lastExpiry) > expiryInterval {
		e.lastExpiry = now
		e.versions.Expire(now.Add(-versionReportTTL))
	}
	st, ok := e.services[name]
	if !ok {
		st = &serviceState{latencies: hedge.NewLatencies(), budget: hedge.NewBudget()}
		e.services[name] = st
	}
	if hosts := e.directory.hosts(); st.tree != tree || st.hosts != hosts {
		e.prepare(st, tree, hosts, name)
	}
	return st
}

// updateAvailability tells the router which hosts are not reached, or may not use their
// shares yet. The caller holds e.mu.
func (e *entry) updateAvailability(now time.Time) {
	if e.peerState == nil || now.Sub(e.silenceMarked) < availabilityInterval {
		return
	}
	e.silenceMarked = now
	for _, h := range e.directory.hosts().byOrdinal {
		state, silent := e.hostState(h)
		e.router.SetUnavailable(h.Place, h.Ordinal, silent || state.Waiting)
	}
}

// hostState returns what a host said last, and whether this host does not reach it:
// heartbeats are missed, or the connection to it was lost.
func (e *entry) hostState(h platform.Host) (state membership.State, silent bool) {
	if e.peerState != nil {
		state, silent = e.peerState(h.Name)
	}
	if h.Name != e.self.Name && e.connLost != nil {
		silent = e.connLost(h.Peers) || silent
	}
	return state, silent
}

// prepare builds the groups of a service anew.
func (e *entry) prepare(st *serviceState, tree *settings.Tree, hosts *hosts, name string) {
	if st.counts != nil {
		st.counts.Close()
	}
	st.tree, st.hosts = tree, hosts
	e.router.SetHostCount(len(hosts.list.Hosts))
	st.gapMisses = map[string]time.Time{}
	st.reportedRanges, st.groupByTarget = map[string][]coverage.Covered{}, map[string]*plannedGroup{}
	configured := tree.Doc.Services[name].Groups
	st.groups = make([]*plannedGroup, len(configured))
	ids := make([][]string, len(configured))
	known := map[string]bool{}
	for i := range configured {
		p := &plannedGroup{group: &configured[i], options: e.routingGroup(tree, &configured[i], 0, nil)}
		p.options.Candidates = slices.DeleteFunc(p.options.Candidates, func(o routing.Candidate) bool { return len(o.Owners) == 0 })
		e.router.Prepare(&p.options)
		for _, o := range p.options.Candidates {
			p.targets = append(p.targets, e.versions.Target(o.Target))
			ids[i] = append(ids[i], o.Target)
			st.groupByTarget[o.Target] = p
		}
		st.groups[i] = p
		known[p.group.ID] = true
	}
	st.counts = e.versions.CountVersions(ids)
	st.latencies.Keep(func(group string) bool { return known[group] })
}

// recordRanges remembers what a target answered for, and the record count of its
// group. The caller holds e.mu.
func (st *serviceState) recordRanges(target string, version uint64, covered []coverage.Covered) {
	if epoch := newestEpoch(covered); epoch > st.epoch {
		st.epoch = epoch
		clear(st.gapMisses)
	}
	p, ok := st.groupByTarget[target]
	if !ok {
		return // the configuration has changed since
	}
	if len(covered) == 1 && covered[0].Range == p.group.Range {
		p.records, p.recordsVersion = covered[0], version
		delete(st.reportedRanges, target)
		return
	}
	st.reportedRanges[target] = covered
}

// recordGapMiss remembers that a target held none of the missing keys. A
// target of an older partition epoch is not remembered: it may be about to take
// them over. The caller holds e.mu.
func (st *serviceState) recordGapMiss(target string, covered []coverage.Covered) {
	if newestEpoch(covered) >= st.epoch {
		st.gapMisses[target] = time.Now()
	}
}

// newestEpoch returns the newest partition epoch of an answer.
func newestEpoch(covered []coverage.Covered) (epoch uint64) {
	for _, c := range covered {
		epoch = max(epoch, c.Epoch)
	}
	return epoch
}

// coversOnlyPart reports whether a target is known to cover only a part of a group's
// range. The caller holds e.mu.
func (st *serviceState) coversOnlyPart(target string, p *plannedGroup) bool {
	covered, ok := st.reportedRanges[target]
	if !ok {
		return false
	}
	for _, c := range covered {
		if c.From <= p.group.Range.From && c.To >= p.group.Range.To {
			return false
		}
	}
	return true
}

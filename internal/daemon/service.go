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
	// versionReportTTL is how long a target's report of its index versions is valid.
	// Targets serve a version for minutes. A target that changed its versions while
	// this host sent it no requests becomes a candidate again after this time.
	versionReportTTL = 5 * time.Second
	// expiryInterval is how often expired reports are removed.
	expiryInterval = time.Second
	// availabilityInterval is how often the router gets the unavailable hosts.
	availabilityInterval = 100 * time.Millisecond
)

// serviceState holds the statistics and reports that the entry host has gathered of
// one search service, and its groups prepared for planning. entry.mu guards it.
type serviceState struct {
	tree   *settings.Tree // configuration and host list from which the groups
	hosts  *hosts         // were prepared
	groups []*plannedGroup
	counts *snapshot.VersionCounts

	latencies *hedge.Latencies
	budget    *hedge.Budget
	load      hedge.Load
	// reportedRanges holds, by target, the ranges that its last answer covered if
	// these differ from the range of its group.
	reportedRanges map[string][]coverage.Covered
	groupByTarget  map[string]*plannedGroup // by usable target
	// gapMisses holds, by target, when the target was last asked for missing keys
	// and held none of them. The entries are valid for the newest partition epoch.
	gapMisses map[string]time.Time
	epoch     uint64 // newest partition epoch in an answer
}

// plannedGroup is a group with the targets that are usable by configuration and
// host list.
type plannedGroup struct {
	group        *settings.Group
	routingGroup routing.Group
	targets      []*snapshot.Target // parallel to routingGroup.Candidates
	// records is the last reported record count of the whole group, and
	// recordsVersion the index version for which it was reported.
	records        coverage.Covered
	recordsVersion uint64
}

// service returns the state of a service, prepared for a configuration. The caller
// holds e.mu.
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

// updateAvailability passes to the router which hosts are unreachable or may not
// use their shares yet. The caller holds e.mu.
func (e *entry) updateAvailability(now time.Time) {
	if e.peerState == nil || now.Sub(e.availabilityUpdated) < availabilityInterval {
		return
	}
	e.availabilityUpdated = now
	for _, h := range e.directory.hosts().byOrdinal {
		state, unreachable := e.hostState(h)
		e.router.SetUnavailable(h.Place, h.Ordinal, unreachable || state.Waiting)
	}
}

// hostState returns the last reported state of a host, and whether the host is
// unreachable: the host is silent, as membership.View.PeerState defines, or the
// connection to it was lost.
func (e *entry) hostState(h platform.Host) (state membership.State, unreachable bool) {
	if e.peerState != nil {
		state, unreachable = e.peerState(h.Name)
	}
	if h.Name != e.self.Name && e.connLost != nil {
		unreachable = e.connLost(h.Peers) || unreachable
	}
	return state, unreachable
}

// prepare rebuilds the groups of a service for a configuration and a host list and
// discards what targets reported of their ranges. The caller holds e.mu.
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
		p := &plannedGroup{group: &configured[i], routingGroup: e.routingGroup(tree, &configured[i], 0, nil)}
		p.routingGroup.Candidates = slices.DeleteFunc(p.routingGroup.Candidates, func(c routing.Candidate) bool { return len(c.Owners) == 0 })
		e.router.Prepare(&p.routingGroup)
		for _, o := range p.routingGroup.Candidates {
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

// recordRanges records the ranges that an answer of a target covered and, if these
// are the range of its group, the group's record count. The caller holds e.mu.
func (st *serviceState) recordRanges(target string, version uint64, covered []coverage.Covered) {
	if epoch := newestEpoch(covered); epoch > st.epoch {
		st.epoch = epoch
		clear(st.gapMisses)
	}
	p, ok := st.groupByTarget[target]
	if !ok {
		return // not usable in the present configuration
	}
	if len(covered) == 1 && covered[0].Range == p.group.Range {
		p.records, p.recordsVersion = covered[0], version
		delete(st.reportedRanges, target)
		return
	}
	st.reportedRanges[target] = covered
}

// recordGapMiss records that a target held none of the missing keys. A target that
// answers with an older partition epoch is not recorded, because it may take the
// keys over when it reaches the newer one. The caller holds e.mu.
func (st *serviceState) recordGapMiss(target string, covered []coverage.Covered) {
	if newestEpoch(covered) >= st.epoch {
		st.gapMisses[target] = time.Now()
	}
}

// newestEpoch returns the newest partition epoch among covered ranges.
func newestEpoch(covered []coverage.Covered) (epoch uint64) {
	for _, c := range covered {
		epoch = max(epoch, c.Epoch)
	}
	return epoch
}

// coversOnlyPart reports whether the last answer of a target covered only a part of
// a group's range. The caller holds e.mu.
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

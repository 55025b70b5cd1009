package bench

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Violations counts broken invariants by kind.
type Violations struct {
	TwoSnapshots    int `json:"two_snapshots"`    // answers with a record of another index version than their snapshot
	OverCoverage    int `json:"over_coverage"`    // answers that lack a matching record of the keys they claim to cover
	WrongRecord     int `json:"wrong_record"`     // answers with a record that is not in the dataset, does not match or is out of order
	OverSlots       int `json:"over_slots"`       // requests that a target refused because all its slots were in use
	OverConns       int `json:"over_connections"` // connections over a target's limit
	OverCold        int `json:"over_cold"`        // requests over the capacity of a cold target
	OverloadCrashes int `json:"fell_over"`        // requests that met a crash of a cold target from overload
	RunTwice        int `json:"run_twice"`        // commands that ran more than once
	FalseNotRun     int `json:"ran_not_run"`      // commands that ran although the caller got the outcome not run
}

// Total returns the number of violations of all kinds.
func (v Violations) Total() int {
	return v.TwoSnapshots + v.OverCoverage + v.WrongRecord + v.OverSlots + v.OverConns + v.OverCold + v.OverloadCrashes + v.RunTwice + v.FalseNotRun
}

// String lists the kinds that occurred with their counts, under their JSON names.
func (v Violations) String() string {
	var text []string
	for _, kind := range []struct {
		name  string
		count int
	}{
		{"two_snapshots", v.TwoSnapshots}, {"over_coverage", v.OverCoverage}, {"wrong_record", v.WrongRecord},
		{"over_slots", v.OverSlots}, {"over_connections", v.OverConns}, {"over_cold", v.OverCold}, {"fell_over", v.OverloadCrashes},
		{"run_twice", v.RunTwice}, {"ran_not_run", v.FalseNotRun},
	} {
		if kind.count > 0 {
			text = append(text, fmt.Sprintf("%s %d", kind.name, kind.count))
		}
	}
	if len(text) == 0 {
		return "none"
	}
	return strings.Join(text, ", ")
}

func (v *Violations) add(o Violations) {
	v.TwoSnapshots += o.TwoSnapshots
	v.OverCoverage += o.OverCoverage
	v.WrongRecord += o.WrongRecord
	v.OverSlots += o.OverSlots
	v.OverConns += o.OverConns
	v.OverCold += o.OverCold
	v.OverloadCrashes += o.OverloadCrashes
	v.RunTwice += o.RunTwice
	v.FalseNotRun += o.FalseNotRun
}

// checker compares answers with full scans of the datasets. It is safe for concurrent
// use.
type checker struct {
	datasets map[string]*standin.Dataset

	mu            sync.Mutex
	groupRanges   map[string]keyspace.Range // by group, of all configurations so far
	splitServices map[string]bool           // services whose groups are split during the run
}

func newChecker(datasets map[string]*standin.Dataset) *checker {
	return &checker{datasets: datasets, groupRanges: map[string]keyspace.Range{}, splitServices: map[string]bool{}}
}

// addConfig records the key ranges of a configuration's groups.
func (c *checker) addConfig(doc *settings.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range doc.Services {
		for _, g := range service.Groups {
			c.groupRanges[g.ID] = g.Range
		}
	}
}

// markSplit records that groups of a service are split while queries run.
func (c *checker) markSplit(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.splitServices[service] = true
}

// missingKeys returns the keys of the groups that an answer's warnings name; ok is false
// if a warning names a group that was in no configuration of the run.
func (c *checker) missingKeys(a *api.SearchResponse) (set keyspace.Set, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range a.Warnings {
		r, ok := c.groupRanges[w.Group]
		if !ok {
			return set, false
		}
		set.Add(r)
	}
	return set, true
}

// checkSearch checks the answer to a search. The records must be matches of the dataset
// at the answer's snapshot, in order. All matches outside the groups that the warnings
// name must be included, up to the limit. The claimed coverage must not exceed the
// other groups' share of the key space, unless groups are split: a group may then be
// covered in part and still have a warning.
func (c *checker) checkSearch(req *api.SearchRequest, a *api.SearchResponse) Violations {
	var v Violations
	all := c.datasets[a.Service].Search(a.Snapshot, req.Terms, 0)
	switch compareRecords(a.Records, all, a.Snapshot) {
	case wrongVersion:
		v.TwoSnapshots++
		return v
	case wrongRecord:
		v.WrongRecord++
		return v
	}
	missing, ok := c.missingKeys(a)
	c.mu.Lock()
	split := c.splitServices[a.Service]
	c.mu.Unlock()
	left := 1 - float64(missing.Len())/float64(keyspace.Size)
	if !ok || !split && a.Coverage > left+1e-9 || lacksMatch(a.Records, all, req.Limit, &missing) {
		v.OverCoverage++
	}
	return v
}

type comparison int

const (
	recordsMatch comparison = iota
	wrongVersion
	wrongRecord
)

// compareRecords returns recordsMatch if got is a subsequence of all, otherwise the kind
// of the first difference.
func compareRecords(got, all []coverage.Record, snapshot uint64) comparison {
	next := 0
	for _, rec := range got {
		found := slices.IndexFunc(all[next:], func(r coverage.Record) bool { return r.ID == rec.ID })
		if found < 0 {
			return wrongRecord
		}
		want := all[next+found]
		if rec != want {
			return classifyDifference(rec, want, snapshot)
		}
		next += found + 1
	}
	return recordsMatch
}

// classifyDifference distinguishes a record of another index version from a wrong one.
func classifyDifference(got, want coverage.Record, snapshot uint64) comparison {
	text := strings.TrimSuffix(want.Text, strconv.FormatUint(snapshot, 10))
	rest, ok := strings.CutPrefix(got.Text, text)
	if _, err := strconv.ParseUint(rest, 10, 64); ok && err == nil && got.Key == want.Key {
		return wrongVersion
	}
	return wrongRecord
}

// lacksMatch reports whether got lacks a match outside the missing keys. If got has
// reached the limit, matches after its last record are not expected.
func lacksMatch(got, all []coverage.Record, limit int, missing *keyspace.Set) bool {
	have := make(map[string]bool, len(got))
	for _, r := range got {
		have[r.ID] = true
	}
	for _, want := range all {
		if limit > 0 && len(got) >= limit && want.ID > got[len(got)-1].ID {
			return false
		}
		if !have[want.ID] && !missing.Contains(want.Key) {
			return true
		}
	}
	return false
}

// checkLookup checks the answer to a lookup of a record that exists.
func (c *checker) checkLookup(req *api.LookupRequest, a *api.LookupResponse) Violations {
	var v Violations
	want, _ := c.datasets[a.Service].Lookup(a.Snapshot, req.ID)
	if !a.Found || a.Record == nil {
		v.WrongRecord++
		return v
	}
	if *a.Record != want {
		if classifyDifference(*a.Record, want, a.Snapshot) == wrongVersion {
			v.TwoSnapshots++
		} else {
			v.WrongRecord++
		}
	}
	return v
}

package bench

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// ClassRow holds the results of one priority class of a service.
type ClassRow struct {
	Class        string  `json:"class"`
	Sent         int     `json:"sent"`
	NotRun       int     `json:"not_run"`
	Quantiles            // of all requests that were not refused
	CoverageMean float64 `json:"coverage_mean"`
	Goodput      float64 `json:"goodput"` // answers per second, as in Row
}

// classTally accumulates the results of one class.
type classTally struct {
	row         ClassRow
	latency     *hdrhistogram.Histogram
	goodCount   int
	coverageSum float64
}

// addClass counts a result in its class, if the query states one.
func (t *tally) addClass(r *result) {
	name := r.query.class
	if name == "" {
		return
	}
	c, ok := t.classes[name]
	if !ok {
		c = &classTally{row: ClassRow{Class: name}, latency: newHistogram()}
		t.classes[name] = c
	}
	c.row.Sent++
	if r.reply.outcome.Kind == outcome.NotRun {
		c.row.NotRun++
		return
	}
	_ = c.latency.RecordValue(r.latency.Microseconds())
	c.coverageSum += r.coverage
	if r.good {
		c.goodCount++
	}
}

// classRows returns the rows of the classes in descending priority.
func (t *tally) classRows(seconds float64) []ClassRow {
	var rows []ClassRow
	for _, c := range t.classes {
		c.row.Quantiles, c.row.Goodput = quantiles(c.latency), float64(c.goodCount)/seconds
		c.row.CoverageMean = mean(c.coverageSum, c.row.Sent-c.row.NotRun)
		rows = append(rows, c.row)
	}
	rank := func(r ClassRow) settings.Priority {
		p, _ := settings.ParsePriority(r.Class) // valid: ParseCase has checked the class
		return p
	}
	slices.SortFunc(rows, func(a, b ClassRow) int { return int(rank(a)) - int(rank(b)) })
	return rows
}

// LoadRow compares a service at one load with the same service at other loads.
type LoadRow struct {
	Service      string  `json:"service"`
	Load         float64 `json:"load"`
	GoodputRatio float64 `json:"goodput"`    // relative to the goodput at load 1
	HighestClass string  `json:"highest"`    // highest priority class with queries
	P99Ratio     float64 `json:"p99"`        // p99 of the highest class relative to its p99 at the lowest load
	ExtraLoad    float64 `json:"extra_load"` // as in Row
}

// CompareLoads compares runs of one policy, case and seed at several loads. Services
// without classes are omitted. The result is nil unless there are at least two loads,
// one of them 1.
func CompareLoads(runs []*Summary) []LoadRow {
	byLoad := map[float64]*Summary{}
	for _, r := range runs {
		byLoad[r.Load] = r
	}
	full, ok := byLoad[1]
	if !ok || len(byLoad) < 2 {
		return nil
	}
	loads := slices.Sorted(maps.Keys(byLoad))
	lowest := byLoad[loads[0]]
	var rows []LoadRow
	for i, row := range full.Rows {
		for _, load := range loads {
			r := byLoad[load].Rows[i]
			if len(r.Classes) == 0 || len(lowest.Rows[i].Classes) == 0 {
				continue
			}
			highest := r.Classes[0]
			rows = append(rows, LoadRow{
				Service: r.Service, Load: load, GoodputRatio: ratio(r.Goodput, row.Goodput), HighestClass: highest.Class,
				P99Ratio: ratio(highest.P99, lowest.Rows[i].Classes[0].P99), ExtraLoad: r.ExtraLoad,
			})
		}
	}
	return rows
}

// ratio returns a/b, 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

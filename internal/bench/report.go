package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// totalRow is the name of the row for all services.
const totalRow = "total"

// Summary holds the results of a run.
type Summary struct {
	Case    string      `json:"case"`
	Policy  Policy      `json:"policy"`
	Seed    uint64      `json:"seed"`
	Seconds float64     `json:"seconds"`
	Hosts   int         `json:"hosts"`
	Usage   Usage       `json:"usage"`
	LinkMS  float64     `json:"link_ms"`        // round trip of a caller's delay and one link's delay, which the oracle omits
	Load    float64     `json:"load,omitempty"` // fraction of the slot capacity; 0 if a rate was given
	Events  []EventMark `json:"events,omitempty"`
	Rows    []*Row      `json:"rows"`
}

// Row holds the results of one service or, as the total, of all services.
type Row struct {
	Service  string `json:"service"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // answers with full coverage
	Partial  int    `json:"partial"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Errors   int    `json:"errors"` // responses that violate the caller protocol

	// Latency from the intended start of all requests that were not refused.
	Quantiles
	Oracle Quantiles `json:"oracle"`
	// Latency of the queueing models, see oracle.
	Queue   Quantiles `json:"queue"`
	Restart Quantiles `json:"queue_restart"`

	// Coverage of all requests that were not refused; an unknown outcome counts as 0.
	CoverageMean float64 `json:"coverage_mean"`
	CoverageMin  float64 `json:"coverage_min"`
	// Goodput is the number of answers per second within the service's deadline and
	// with at least its early_finish_coverage.
	Goodput float64 `json:"goodput"`
	// ExtraLoad is Extra divided by Necessary.
	ExtraLoad float64 `json:"extra_load"`

	Reasons      map[string]int `json:"reasons"`            // number of requests without an answer, by outcome and reason
	Failures     []Failure      `json:"failures,omitempty"` // the same requests, and missing groups, by message and second
	Classes      []ClassRow     `json:"classes,omitempty"`  // empty if the case states no classes
	Crashed      int            `json:"crashed"`            // targets that crashed from killer queries
	CrashedMax   int            `json:"crashed_max"`        // largest number of crashed replicas in one group
	Violations   Violations     `json:"violations"`         // found by the checks and counted by the stand-ins
	Valid        bool           `json:"valid"`              // false if the machine was saturated
	Series       []SecondRow    `json:"series"`             // by second of the intended start
	Samples      []string       `json:"samples,omitempty"`  // descriptions of failed checks, at most maxSamples
	Necessary    int            `json:"necessary"`          // sub-requests that were the first run of their query in their group
	Extra        int            `json:"extra"`              // sub-requests that targets ran beyond the necessary ones
	KillerSent   int            `json:"killer_sent"`        // killer queries; of their results only violations count
	IntendedRate float64        `json:"rate_per_sec"`       // intended arrivals
	SlotRaces    int            `json:"slot_races"`         // refusals for full slots that a late release explains; not violations

	latencies, oracles *hdrhistogram.Histogram // microseconds
}

// SecondRow holds the results of one second of a run.
type SecondRow struct {
	Sent     int     `json:"sent"`
	P99      float64 `json:"p99_ms"`
	Coverage float64 `json:"coverage"` // mean
	Refused  int     `json:"refused"`
}

// maxSamples bounds the failed checks that a row describes.
const maxSamples = 5

// tally accumulates the results of one row.
type tally struct {
	row           Row
	latency       *hdrhistogram.Histogram
	oracle        *hdrhistogram.Histogram
	queue         *hdrhistogram.Histogram
	restart       *hdrhistogram.Histogram
	classes       map[string]*classTally
	coverageSum   float64
	coverageCount int // requests in coverageSum
	goodCount     int
	seconds       []secondTally
	failures      *failureCounts
}

type secondTally struct {
	latency                      *hdrhistogram.Histogram
	sent, refused, coverageCount int
	coverageSum                  float64
}

func newTally(service string, seconds int) *tally {
	t := &tally{
		row:     Row{Service: service, CoverageMin: 1, Reasons: map[string]int{}},
		latency: newHistogram(), oracle: newHistogram(), queue: newHistogram(), restart: newHistogram(), classes: map[string]*classTally{},
		seconds: make([]secondTally, seconds), failures: newFailureCounts(seconds),
	}
	for i := range t.seconds {
		t.seconds[i].latency = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
	}
	return t
}

// result is a query with its reply and the findings of the checks.
type result struct {
	query      *query
	reply      reply
	latency    time.Duration
	coverage   float64
	good       bool // counts for Row.Goodput
	violations Violations
	sample     string
}

func (t *tally) add(r *result, at time.Duration) {
	t.row.Violations.add(r.violations)
	if r.sample != "" && len(t.row.Samples) < maxSamples {
		t.row.Samples = append(t.row.Samples, r.sample)
	}
	if r.query.killer {
		t.row.KillerSent++
		return
	}
	t.row.Sent++
	o := r.reply.outcome
	s := &t.seconds[min(int(at/time.Second), len(t.seconds)-1)]
	s.sent++
	t.failures.addReply(&r.reply, at)
	t.addClass(r)
	switch {
	case o.Kind == outcome.Answered:
		t.row.Answered++
	case o.Kind == outcome.Partial:
		t.row.Partial++
	case o.Kind == outcome.NotRun:
		t.row.NotRun++
		t.row.Reasons[o.Kind.String()+"/"+string(o.Reason)]++
		s.refused++
		return
	case o.Reason == outcome.Internal:
		t.row.Errors++
		t.row.Reasons["error"]++
	default:
		t.row.Unknown++
		t.row.Reasons[o.Kind.String()+"/"+string(o.Reason)]++
	}
	us := r.latency.Microseconds()
	_, _ = t.latency.RecordValue(us), s.latency.RecordValue(us)
	t.coverageSum += r.coverage
	t.coverageCount++
	s.coverageSum += r.coverage
	s.coverageCount++
	t.row.CoverageMin = min(t.row.CoverageMin, r.coverage)
	if r.good {
		t.goodCount++
	}
}

// finish computes the row. seconds is the length of the measured time.
func (t *tally) finish(seconds float64, valid bool) *Row {
	t.row.Quantiles, t.row.Oracle, t.row.Valid = quantiles(t.latency), quantiles(t.oracle), valid
	t.row.latencies, t.row.oracles = t.latency, t.oracle
	t.row.Failures = t.failures.list()
	t.row.CoverageMean = mean(t.coverageSum, t.coverageCount)
	t.row.Goodput = float64(t.goodCount) / seconds
	t.row.IntendedRate = float64(t.row.Sent) / seconds
	if t.row.Necessary > 0 {
		t.row.ExtraLoad = float64(t.row.Extra) / float64(t.row.Necessary)
	}
	t.row.Queue, t.row.Restart = quantiles(t.queue), quantiles(t.restart)
	t.row.Classes = t.classRows(seconds)
	for _, s := range t.seconds {
		t.row.Series = append(t.row.Series, SecondRow{
			Sent: s.sent, P99: float64(s.latency.ValueAtQuantile(99)) / 1000, Coverage: mean(s.coverageSum, s.coverageCount), Refused: s.refused,
		})
	}
	return &t.row
}

func mean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// recorder accumulates the results of a run by service and in total. It is safe for
// concurrent use until rows is called.
type recorder struct {
	mu        sync.Mutex
	services  map[string]*tally
	total     *tally
	notRunIDs map[string]map[string]bool // by service: identifiers of commands with the outcome not run
	killerIDs map[string]bool            // request identifiers of killer queries
	warmupIDs map[string]bool            // request identifiers of the warm-up
}

func newRecorder(doc *settings.Document, seconds int) *recorder {
	rec := &recorder{
		services: map[string]*tally{}, total: newTally(totalRow, seconds),
		notRunIDs: map[string]map[string]bool{}, killerIDs: map[string]bool{}, warmupIDs: map[string]bool{},
	}
	for name := range doc.Services {
		rec.services[name] = newTally(name, seconds)
		rec.notRunIDs[name] = map[string]bool{}
	}
	return rec
}

func (rec *recorder) add(r *result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if r.query.kind == settings.KindCommand && r.reply.outcome.Kind == outcome.NotRun && r.reply.id != "" {
		rec.notRunIDs[r.query.service][r.reply.id] = true
	}
	if r.query.killer {
		rec.killerIDs[r.reply.id] = true
	}
	service := rec.services[r.query.service]
	if r.query.at < 0 { // in the warm-up only violations count
		rec.warmupIDs[r.reply.id] = true
		service.row.Violations.add(r.violations)
		rec.total.row.Violations.add(r.violations)
		return
	}
	service.add(r, r.query.at)
	rec.total.add(r, r.query.at)
}

func (rec *recorder) addReferences(service string, l referenceLatencies) {
	us := func(d time.Duration) int64 { return min(d, time.Minute).Microseconds() }
	for _, t := range []*tally{rec.services[service], rec.total} {
		_, _, _ = t.oracle.RecordValue(us(l.oracle)), t.queue.RecordValue(us(l.queue)), t.restart.RecordValue(us(l.restart))
	}
}

// addTargetCounts adds the counts of the stand-ins. No request may be in progress.
func (rec *recorder) addTargetCounts(f *fleet.Fleet) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	doc := &f.Tree().Doc
	for name, service := range doc.Services {
		row := &rec.services[name].row
		lookups := map[string]int{}
		var v Violations
		for _, g := range service.Groups {
			searches, crashed := map[string]int{}, 0
			for _, t := range g.Targets {
				s := f.Searchers[t.ID]
				counts := s.Counts()
				v.OverSlots += int(counts.OverSlots.Load())
				v.OverConns += int(counts.OverConns.Load())
				v.OverCold += int(counts.OverColdCapacity.Load())
				v.OverloadCrashes += int(counts.OverloadCrashes.Load())
				row.SlotRaces += int(counts.SlotRaces.Load())
				row.Crashed += int(counts.KillerQueryCrashes.Load())
				if counts.KillerQueryCrashes.Load() > 0 {
					crashed++
				}
				searched, lookedUp := s.RunCounts()
				addCounts(searches, searched)
				addCounts(lookups, lookedUp)
			}
			row.CrashedMax = max(row.CrashedMax, crashed)
			rec.countExtra(row, searches)
		}
		rec.countExtra(row, lookups)
		if service.Kind == settings.KindCommand {
			for id, n := range lookups {
				if n > 1 {
					v.RunTwice++
				}
				if rec.notRunIDs[name][id] {
					v.FalseNotRun++
				}
			}
		}
		row.Violations.add(v)
		total := &rec.total.row
		total.Violations.add(v)
		total.Necessary += row.Necessary
		total.Extra += row.Extra
		total.SlotRaces += row.SlotRaces
		total.Crashed += row.Crashed
		total.CrashedMax = max(total.CrashedMax, row.CrashedMax)
	}
}

// countExtra counts the first run of each request as necessary and the others as extra.
// Killer queries and requests of the warm-up are not counted.
func (rec *recorder) countExtra(row *Row, runs map[string]int) {
	for id, n := range runs {
		if !rec.killerIDs[id] && !rec.warmupIDs[id] {
			row.Necessary++
			row.Extra += n - 1
		}
	}
}

func addCounts(into, from map[string]int) {
	for id, n := range from {
		into[id] += n
	}
}

// rows returns the rows of the services in order of name, then the total.
func (rec *recorder) rows(seconds float64, valid bool) []*Row {
	var all []*Row
	for _, name := range slices.Sorted(maps.Keys(rec.services)) {
		all = append(all, rec.services[name].finish(seconds, valid))
	}
	return append(all, rec.total.finish(seconds, valid))
}

// ViolationCount returns the number of violations in all services.
func (r *Summary) ViolationCount() int { return r.Rows[len(r.Rows)-1].Violations.Total() }

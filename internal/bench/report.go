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

// totalRow is the name of the row over all services.
const totalRow = "total"

// Summary is the result of a run.
type Summary struct {
	Case    string      `json:"case"`
	Policy  Policy      `json:"policy"`
	Seed    uint64      `json:"seed"`
	Seconds float64     `json:"seconds"`
	Hosts   int         `json:"hosts"`
	Usage   Usage       `json:"usage"`
	LinkMS  float64     `json:"link_ms"`        // callers' and one link's delay, both ways: what the oracle leaves out
	Load    float64     `json:"load,omitempty"` // fraction of the slots; 0 if the rate was given
	Events  []EventMark `json:"events,omitempty"`
	Rows    []*Row      `json:"rows"`
}

// Row is the result for one service, or for all.
type Row struct {
	Service  string `json:"service"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // full answers
	Partial  int    `json:"partial"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Errors   int    `json:"errors"` // answers that are not in the protocol's form

	// Latency from the intended start of everything but refusals.
	Quantiles
	Oracle Quantiles `json:"oracle"`
	// Queues without knowledge of service times, see oracle.
	Queue   Quantiles `json:"queue"`
	Restart Quantiles `json:"queue_restart"`

	// Coverage of everything but refusals; an unknown outcome counts as 0.
	CoverageMean float64 `json:"coverage_mean"`
	CoverageMin  float64 `json:"coverage_min"`
	// Goodput is the answers per second with at least the service's
	// early_finish_coverage, within its deadline.
	Goodput float64 `json:"goodput"`
	// ExtraLoad is the sub-requests that targets ran beyond one per group and
	// query, as a fraction of the latter.
	ExtraLoad float64 `json:"extra_load"`

	Reasons      map[string]int `json:"reasons"`            // outcomes without an answer
	Failures     []Failure      `json:"failures,omitempty"` // the same and missing groups, by message and second
	Classes      []ClassRow     `json:"classes,omitempty"`  // if the case states classes
	Crashed      int            `json:"crashed"`            // targets crashed by a killer query
	CrashedMax   int            `json:"crashed_max"`        // most replicas of one group that one did
	Violations   Violations     `json:"violations"`         //
	Valid        bool           `json:"valid"`              // false: the machine was saturated
	Series       []SecondRow    `json:"series"`             // by second of the intended start
	Samples      []string       `json:"samples,omitempty"`  // a few failed checks
	Necessary    int            `json:"necessary"`          // sub-requests that ran first for their group and query
	Extra        int            `json:"extra"`              // sub-requests that ran besides
	KillerSent   int            `json:"killer_sent"`        // killer queries, not counted elsewhere
	IntendedRate float64        `json:"rate_per_sec"`       // intended arrivals
	SlotRaces    int            `json:"slot_races"`         // refusals for full slots that a late notice explains; no violation

	latencies, oracles *hdrhistogram.Histogram // microseconds
}

// SecondRow is one second of a run.
type SecondRow struct {
	Sent     int     `json:"sent"`
	P99      float64 `json:"p99_ms"`
	Coverage float64 `json:"coverage"` // mean
	Refused  int     `json:"refused"`
}

// maxSamples bounds the failed checks that a row keeps.
const maxSamples = 5

// tally accumulates one row.
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

// result is one request with what became of it.
type result struct {
	query      *query
	reply      reply
	latency    time.Duration
	coverage   float64
	good       bool
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

// finish computes the row.
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

// board holds the tallies of all services and of their sum.
type recorder struct {
	mu        sync.Mutex
	services  map[string]*tally
	total     *tally
	notRunIDs map[string]map[string]bool // by service: commands that callers were told did not run
	killerIDs map[string]bool            // request identifiers of killer queries
	warmupIDs map[string]bool            // request identifiers from before the measured time
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
	if r.query.at < 0 { // before the measured time only violations count
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

// logs counts what the stand-ins logged. No request may be in progress.
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
				searched, looked := s.RunCounts()
				addCounts(searches, searched)
				addCounts(lookups, looked)
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

// extra counts the runs of each request beyond the first.
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

// rows returns the services in order of name, then the total.
func (rec *recorder) rows(seconds float64, valid bool) []*Row {
	var all []*Row
	for _, name := range slices.Sorted(maps.Keys(rec.services)) {
		all = append(all, rec.services[name].finish(seconds, valid))
	}
	return append(all, rec.total.finish(seconds, valid))
}

// ViolationCount returns the number of violations of all services.
func (r *Summary) ViolationCount() int { return r.Rows[len(r.Rows)-1].Violations.Total() }

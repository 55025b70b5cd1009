package bench

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PageName is the file name of the page in a report directory.
const PageName = "index.html"

//go:embed page.html
var pageHTML string

// pageTemplate parses the template at its first use instead of at the start of the
// process, because the same binary runs hosts, whose start should be short.
var pageTemplate = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("page").Funcs(template.FuncMap{
		"ms":       func(v float64) string { return fmt.Sprintf("%.1f", v) },
		"fraction": func(v float64) string { return fmt.Sprintf("%.5f", v) },
		"seconds":  func(d Duration) string { return fmt.Sprintf("%.1f", time.Duration(d).Seconds()) },
	}).Parse(pageHTML))
})

// EventMark is the start or the end of an event in a run.
type EventMark struct {
	At   Duration `json:"at"`
	Do   Action   `json:"do"`
	Undo bool     `json:"undo,omitempty"` // the event is undone
}

// String returns the action, followed by "ends" if it is undone.
func (m EventMark) String() string {
	if m.Undo {
		return string(m.Do) + " ends"
	}
	return string(m.Do)
}

func eventMarks(steps []step) []EventMark {
	var all []EventMark
	for _, s := range steps {
		all = append(all, EventMark{At: Duration(s.at), Do: s.event.Do, Undo: s.undo})
	}
	return all
}

// WriteReport writes an HTML page and its plots to a directory, which it creates if
// necessary. The runs must have the same case, seed and load, one run for each policy; no
// runs, or runs that differ in case, seed or load, are an error.
// The oracle and the events are the same for all runs and are taken from the first.
func WriteReport(dir string, runs []*Summary) error {
	if len(runs) == 0 {
		return errors.New("report: no runs are given")
	}
	for _, r := range runs[1:] {
		if r.Case != runs[0].Case || r.Seed != runs[0].Seed || r.Load != runs[0].Load {
			return errors.Newf("report: case %s, seed %d, load %g and case %s, seed %d, load %g cannot be on the same page",
				runs[0].Case, runs[0].Seed, runs[0].Load, r.Case, r.Seed, r.Load)
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	images, err := writePlots(dir, runs)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	file, err := os.Create(filepath.Join(dir, PageName))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	calm := calmP99s(runs)
	err = pageTemplate().Execute(file, struct {
		Runs          []*Summary
		First         *Summary
		Images        []figure
		BySecond      []pageSecond
		Calm          bool // every run has a p99 from before its first event
		CoverageFloor float64
		CalmFactor    float64
	}{runs, runs[0], images, bySecond(runs, calm), calm != nil, coverageFloor, calmFactor})
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "report")
}

// Objectives for each second of a place move (docs/design.md). Values that miss them are
// highlighted on the page.
const (
	coverageFloor = 0.99
	calmFactor    = 2.0
)

// pageSecond holds one second of all runs.
type pageSecond struct {
	Second int
	Events string
	Cells  []pageCell // one for each run
}

// pageCell holds one second of one run.
type pageCell struct {
	SecondRow
	TimesCalm float64 // p99 divided by the median p99 of the seconds before the first event
	Low, Slow bool    // coverage below coverageFloor, p99 above calmFactor times the calm one
}

// calmP99s returns, for each run, the median of the p99 of the whole seconds before the
// first event. The result is nil if there are no events or a run has no such p99.
func calmP99s(runs []*Summary) []float64 {
	if len(runs[0].Events) == 0 {
		return nil
	}
	first := slices.MinFunc(runs[0].Events, func(a, b EventMark) int { return cmp.Compare(a.At, b.At) })
	seconds := int(time.Duration(first.At) / time.Second)
	var calm []float64
	for _, r := range runs {
		var p99 []float64
		total := r.Rows[len(r.Rows)-1].Series
		for _, s := range total[:min(seconds, len(total))] {
			p99 = append(p99, s.P99)
		}
		slices.Sort(p99)
		if len(p99) == 0 || p99[len(p99)/2] == 0 {
			return nil
		}
		calm = append(calm, p99[len(p99)/2])
	}
	return calm
}

// bySecond returns the seconds of the total rows of all runs.
func bySecond(runs []*Summary, calm []float64) []pageSecond {
	var rows []pageSecond
	for i := range runs[0].Rows[len(runs[0].Rows)-1].Series {
		row := pageSecond{Second: i}
		var names []string
		for _, e := range runs[0].Events {
			if int(time.Duration(e.At)/time.Second) == i {
				names = append(names, e.String())
			}
		}
		row.Events = strings.Join(names, ", ")
		for n, r := range runs {
			series := r.Rows[len(r.Rows)-1].Series
			if i >= len(series) {
				continue
			}
			cell := pageCell{SecondRow: series[i]}
			cell.Low = cell.Sent > cell.Refused && cell.Coverage < coverageFloor
			if calm != nil {
				cell.TimesCalm = cell.P99 / calm[n]
				cell.Slow = cell.TimesCalm > calmFactor
			}
			row.Cells = append(row.Cells, cell)
		}
		rows = append(rows, row)
	}
	return rows
}

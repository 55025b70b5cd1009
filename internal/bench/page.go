package bench

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// PageName is the name of the page in a report directory.
const PageName = "index.html"

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":       func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"fraction": func(v float64) string { return fmt.Sprintf("%.5f", v) },
	"seconds":  func(d Duration) string { return fmt.Sprintf("%.1f", time.Duration(d).Seconds()) },
}).Parse(pageText))

// Mark is one event of a case in the time of a run.
type Mark struct {
	At   Duration `json:"at"`
	Do   Action   `json:"do"`
	Undo bool     `json:"undo,omitempty"` // the event ends
}

// String names the event.
func (m Mark) String() string {
	if m.Undo {
		return string(m.Do) + " ends"
	}
	return string(m.Do)
}

func marks(steps []step) []Mark {
	var all []Mark
	for _, s := range steps {
		all = append(all, Mark{At: Duration(s.at), Do: s.event.Do, Undo: s.undo})
	}
	return all
}

// WriteReport writes an HTML page and its plots into a directory, which it
// creates. The runs are those of one case, seed and load, one for each policy; the
// oracle and the events are the same for all and come from the first.
func WriteReport(dir string, runs []*Summary) error {
	if len(runs) == 0 {
		return errors.New("report: there are no runs")
	}
	for _, r := range runs[1:] {
		if r.Case != runs[0].Case || r.Seed != runs[0].Seed || r.Load != runs[0].Load {
			return errors.Newf("report: case %s with seed %d and load %g and case %s with seed %d and load %g cannot share a page",
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
	err = pageTemplate.Execute(file, struct {
		Runs   []*Summary
		First  *Summary
		Images []figure
	}{runs, runs[0], images})
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "report")
}

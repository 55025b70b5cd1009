package bench

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	// cdfPointsPerHalving is the number of points of a CDF for each halving of the
	// distance to 1.
	cdfPointsPerHalving = 10
)

var (
	lineColors     = []color.Color{color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}, color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}}
	oracleColor    = color.RGBA{A: 0xff}
	markColor      = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}
	objectiveColor = color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}
)

// figure is the file and title of a plot.
type figure struct{ File, Title string }

// writePlots writes the plotted series and the latency CDFs of the total and of each
// service as PNG files.
func writePlots(dir string, runs []*Summary) ([]figure, error) {
	var images []figure
	save := func(p *plot.Plot, err error, file string) error {
		if err != nil {
			return errors.Wrapf(err, "plot %s", file)
		}
		images = append(images, figure{file, p.Title.Text})
		return errors.Wrapf(p.Save(plotWidth, plotHeight, filepath.Join(dir, file)), "plot %s", file)
	}
	for i := range plottedSeries {
		p, err := plotSeries(runs, i)
		if err := save(p, err, plottedSeries[i].file); err != nil {
			return nil, err
		}
	}
	for i := len(runs[0].Rows) - 1; i >= 0; i-- { // the total first
		p, err := plotLatencyCDF(runs, i)
		if err := save(p, err, fmt.Sprintf("latency-%s.png", runs[0].Rows[i].Service)); err != nil {
			return nil, err
		}
	}
	return images, nil
}

// plottedSeries are the values of the total row that are plotted by second.
var plottedSeries = []struct {
	file, title string
	value       func(SecondRow) float64
	// zoomed starts the axis near the lowest value instead of at 0, so that a loss of
	// 1 % of coverage is visible.
	zoomed    bool
	objective float64 // drawn as a horizontal line; 0 for none
}{
	{"coverage.png", "Mean coverage", func(s SecondRow) float64 { return s.Coverage }, true, coverageFloor},
	{"p99.png", "p99 latency (ms)", func(s SecondRow) float64 { return s.P99 }, false, 0},
	{"refusals.png", "Refusals per second", func(s SecondRow) float64 { return float64(s.Refused) }, false, 0},
}

// plotSeries plots one of plottedSeries for all runs.
func plotSeries(runs []*Summary, i int) (*plot.Plot, error) {
	plotted := &plottedSeries[i]
	p := newPlot(plotted.title+" by second, all services", "second of the intended start", plotted.title)
	low, top := math.Inf(1), 0.0
	for i, r := range runs {
		var points plotter.XYs
		for second, s := range r.Rows[len(r.Rows)-1].Series {
			if plotted.zoomed && s.Sent == s.Refused {
				continue // all requests were refused, so there is no coverage
			}
			value := plotted.value(s)
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: value})
			low, top = min(low, value), max(top, value)
		}
		if err := addLine(p, string(r.Policy), points, lineColors[i%len(lineColors)]); err != nil {
			return nil, err
		}
	}
	if top == 0 {
		top = 1 // event marks need a height even if all values are 0
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, runs[0].Seconds, 0, top*1.15
	if plotted.zoomed {
		p.Y.Min = max(0, min(low, plotted.objective)-0.01)
		p.Y.Max = max(top, plotted.objective) + 0.15*(max(top, plotted.objective)-p.Y.Min)
	}
	p.X.Tick.Marker = plot.TickerFunc(secondTicks)
	if plotted.objective > 0 {
		if err := addObjective(p, plotted.objective); err != nil {
			return nil, err
		}
	}
	return p, addMarks(p, runs[0].Events, runs[0].Seconds)
}

// newPlot returns an empty plot with its legend set off from the edge.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.XOffs = -vg.Points(8)
	return p
}

// secondTicks places ticks at whole seconds, at most 11.
func secondTicks(low, high float64) []plot.Tick {
	step := max(1, math.Ceil((high-low)/10))
	var ticks []plot.Tick
	for at := math.Ceil(low); at <= high; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: fmt.Sprintf("%.0f", at)})
	}
	return ticks
}

// latencyTicks places ticks for a logarithmic axis and labels 1, 2 and 5 of each decade.
func latencyTicks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for power := math.Pow(10, math.Floor(math.Log10(low))); power <= high; power *= 10 {
		for digit := 1.0; digit < 10; digit++ {
			tick := plot.Tick{Value: digit * power}
			if digit == 1 || digit == 2 || digit == 5 {
				tick.Label = fmt.Sprintf("%g", tick.Value)
			}
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

// addObjective draws a horizontal line at the objective of a value.
func addObjective(p *plot.Plot, value float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: value}, {X: p.X.Max, Y: value}})
	if err != nil {
		return err
	}
	line.Color, line.Width, line.Dashes = objectiveColor, vg.Points(1.5), []vg.Length{vg.Points(6), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(fmt.Sprintf("objective %g", value), line)
	return nil
}

// addMarks draws a labelled vertical line at each event. The labels of events at the
// same time are stacked.
func addMarks(p *plot.Plot, events []EventMark, seconds float64) error {
	stacked := map[float64]int{}
	for _, e := range events {
		at := time.Duration(e.At).Seconds()
		if at > seconds {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: p.Y.Min}, {X: at, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = markColor, []vg.Length{vg.Points(3), vg.Points(3)}
		height := 0.96 - 0.05*float64(stacked[at])
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: at, Y: p.Y.Min + (p.Y.Max-p.Y.Min)*height}},
			Labels: []string{" " + e.String()},
		})
		if err != nil {
			return err
		}
		stacked[at]++
		p.Add(line, label)
	}
	return nil
}

// plotLatencyCDF plots the latency CDFs of one row for each policy and the oracle.
func plotLatencyCDF(runs []*Summary, row int) (*plot.Plot, error) {
	p := newPlot("Latency of "+runs[0].Rows[row].Service+" (cumulative)", "latency (ms)", "fraction of requests")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.TickerFunc(latencyTicks)
	for i, r := range runs {
		if err := addLine(p, string(r.Policy), cdf(r.Rows[row].latencies), lineColors[i%len(lineColors)]); err != nil {
			return nil, err
		}
	}
	if err := addLine(p, "oracle", cdf(runs[0].Rows[row].oracles), oracleColor); err != nil {
		return nil, err
	}
	if p.X.Min <= 0 || p.X.Max <= p.X.Min { // no latencies, or all are equal
		p.X.Min, p.X.Max = 1, 1000
	}
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	return p, nil
}

// cdf returns the points of a CDF with latencies in milliseconds. It omits a latency of
// 0, which a logarithmic axis cannot show.
func cdf(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, b := range h.CumulativeDistributionWithTicks(cdfPointsPerHalving) {
		if b.ValueAt > 0 {
			points = append(points, plotter.XY{X: float64(b.ValueAt) / 1000, Y: b.Quantile / 100})
		}
	}
	return points
}

// addLine adds a line and its legend entry, unless it has no points.
func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

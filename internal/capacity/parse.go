package main

import (
	"regexp"
	"strconv"
	"strings"
)

// results holds benchmark figures by benchmark name, without the prefix Benchmark and
// the suffix for GOMAXPROCS, and by unit.
type results map[string]map[string]float64

var gomaxprocsSuffix = regexp.MustCompile(`-\d+$`)

// parseBenchmarks parses the output of "go test -bench". If a benchmark occurs several
// times, the last one is used.
func parseBenchmarks(output []byte) results {
	figures := results{}
	for line := range strings.Lines(string(output)) {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		units := map[string]float64{}
		for i := 2; i+1 < len(fields); i += 2 {
			if value, err := strconv.ParseFloat(fields[i], 64); err == nil {
				units[fields[i+1]] = value
			}
		}
		figures[gomaxprocsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")] = units
	}
	return figures
}

// resultReader reads figures and records whether one was missing.
type resultReader struct {
	results results
	missing bool
}

// get returns a figure, or 0 if it is missing.
func (r *resultReader) get(name, unit string) float64 {
	value, ok := r.results[name][unit]
	if !ok {
		r.missing = true
	}
	return value
}

// slope returns the growth of heap and stacks per element, in bytes.
func (r *resultReader) slope(name string) float64 {
	return r.get(name, "heap-B/element") + r.get(name, "stack-B/element")
}

// pageRow is the slope and the value at the scale target of docs/design.md in a row of
// docs/CAPACITY.md.
type pageRow struct{ slope, atScale string }

// parsePage returns the rows of all tables of docs/CAPACITY.md, whose text is given,
// keyed by their first column.
func parsePage(text string) map[string]pageRow {
	rows := map[string]pageRow{}
	for line := range strings.Lines(text) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) < 5 || cells[0] != "" {
			continue
		}
		rows[strings.TrimSpace(cells[1])] = pageRow{strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])}
	}
	return rows
}

var numberPattern = regexp.MustCompile(`\d[\d,]*(\.\d+)?`)

// figure returns the number at an index, from 0, among the numbers in the slope and the
// value at the scale target, and false if there is none.
func (p pageRow) figure(index int) (float64, bool) {
	found := numberPattern.FindAllString(p.slope+" | "+p.atScale, -1)
	if index >= len(found) {
		return 0, false
	}
	value, err := strconv.ParseFloat(strings.ReplaceAll(found[index], ",", ""), 64)
	return value, err == nil
}

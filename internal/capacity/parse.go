package main

import (
	"regexp"
	"strconv"
	"strings"
)

// results are the figures of benchmarks by name, without the number of
// processors behind it, and by unit.
type results map[string]map[string]float64

var processors = regexp.MustCompile(`-\d+$`)

// parseBenchmarks reads what "go test -bench" prints. Of a benchmark that is
// there several times the last one counts.
func parseBenchmarks(output []byte) results {
	all := results{}
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
		all[processors.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")] = units
	}
	return all
}

// reader reads figures and notes whether one was missing.
type reader struct {
	results results
	missing bool
}

func (r *reader) get(name, unit string) float64 {
	value, ok := r.results[name][unit]
	if !ok {
		r.missing = true
	}
	return value
}

// slope returns the growth of heap and stacks per element in bytes.
func (r *reader) slope(name string) float64 {
	return r.get(name, "heap-B/element") + r.get(name, "stack-B/element")
}

// pageRow is a row of a table of the page.
type pageRow struct{ slope, target string }

// parsePage returns the rows of all tables of a page by their first column.
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

var number = regexp.MustCompile(`\d[\d,]*(\.\d+)?`)

// figure returns the number at an index among those of the slope and the value
// at the target.
func (p pageRow) figure(index int) (float64, bool) {
	found := number.FindAllString(p.slope+" | "+p.target, -1)
	if index >= len(found) {
		return 0, false
	}
	value, err := strconv.ParseFloat(strings.ReplaceAll(found[index], ",", ""), 64)
	return value, err == nil
}

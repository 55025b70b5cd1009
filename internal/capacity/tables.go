package main

import (
	"fmt"
	"io"
)

// The scale target of docs/design.md and quantities derived from it; the table "Shape"
// of docs/CAPACITY.md has the computations.
const (
	hosts                = 1300.0
	searchers            = 6800.0
	groupsPerQuery       = 1300.0
	queriesPerHost       = 210_000 / hosts // 1/s
	openQueriesPerHost   = 16.0            // in progress at an entry host, at 0.1 s a query
	branchHostsPerQuery  = 260.0
	subRequestsPerHost   = groupsPerQuery * queriesPerHost // sent by a host as branch host, 1/s
	targetsPerHost       = 2 * searchers / hosts
	connectionsPerTarget = 4.0  // 2 slots and 2 spare connections of an owner
	readingHosts         = 46.0 // hosts that read the configuration service themselves
	secondsPerChange     = 86_400 / 1500.0
	secondsPerRestart    = 86_400 / 1700.0
	commandRecords       = 131_072.0
	quarantineEntries    = 4096.0
)

// Bounds for one host. Those for memory and control are from the scale target;
// maxHostCores is the number of cores of a small entry host.
const (
	maxMemoryMB           = 64.0
	maxControlKBps        = 4.0
	maxControlCPUPercent  = 1.4    // of one core
	maxReadsPerSecond     = 2000.0 // of the configuration service, by all reading hosts
	maxSpreadSeconds      = 6.0    // until a change is in force
	maxHostCores          = 8.0
	benchmarkReadingHosts = 8.0  // reading hosts in the benchmark with 32 hosts
	maxPageRatio          = 1.25 // ratio to the figure of docs/CAPACITY.md, or its inverse, above which a figure is marked
)

// row is a row of a table. atScale is the value at the scale target of docs/design.md.
// value is the measured figure, which is compared with the number at pageIndex in the
// row of docs/CAPACITY.md; see pageRow.figure.
type row struct {
	name, slope, atScale string
	fits                 bool
	value                float64
	pageIndex            int
	missing              bool
}

// table has the rows of one table of docs/CAPACITY.md.
type table struct {
	title string
	rows  []row
}

// newRow returns the row that compute derives from measured figures. The row is marked
// as missing if compute read a figure that was not measured.
func newRow(measured results, name string, compute func(r *resultReader) row) row {
	r := &resultReader{results: measured}
	computed := compute(r)
	computed.name, computed.missing = name, r.missing
	return computed
}

// memoryRow returns the row of state that grows by a number of bytes per element.
func memoryRow(measured results, name, benchmark string, elements float64) row {
	return newRow(measured, name, func(r *resultReader) row {
		bytes := r.slope(benchmark)
		mb := bytes * elements / 1e6
		return row{value: bytes, slope: fmt.Sprintf("%.0f B", bytes), atScale: fmt.Sprintf("%.2f MB", mb), fits: mb <= maxMemoryMB}
	})
}

func entryTable(measured results) table {
	return table{"Entry role", []row{
		memoryRow(measured, "state per known target", "CapacityKnownTarget/entry", searchers),
		newRow(measured, "configuration tree", func(r *resultReader) row {
			b, mb := r.slope("CapacityKnownTarget/tree"), r.get("Document", "MB")
			return row{value: b, slope: fmt.Sprintf("%.0f B a target, document %.2f MB", b, r.get("Document", "bytes")/1e6), atScale: fmt.Sprintf("%.1f MB", mb), fits: mb <= maxMemoryMB}
		}),
		newRow(measured, "open queries", func(r *resultReader) row {
			kb := r.slope("CapacityQuery") / 1000
			mb := kb * groupsPerQuery / 40 / 1000
			return row{value: kb, slope: fmt.Sprintf("%.1f KB per 40 groups, both ends", kb),
				atScale: fmt.Sprintf("%.1f MB a query × %.0f open = %.0f MB", mb, openQueriesPerHost, mb*openQueriesPerHost), fits: mb*openQueriesPerHost <= maxMemoryMB}
		}),
		newRow(measured, "planning a query", func(r *resultReader) row {
			us := r.get("Plan/1300", "ns/op") / 1000
			return row{value: us, slope: fmt.Sprintf("%.0f µs at 1,300 groups", us), atScale: fmt.Sprintf("%.1f %% of a core", us*queriesPerHost/1e4), fits: us*queriesPerHost/1e6 <= maxHostCores}
		}),
		newRow(measured, "picking a version", func(r *resultReader) row {
			us := r.get("Pick/1300", "ns/op") / 1000
			return row{value: us, slope: fmt.Sprintf("%.2f µs at 1,300 groups", us), atScale: fmt.Sprintf("%.3f %% of a core", us*queriesPerHost/1e4), fits: true}
		}),
		newRow(measured, "messages to branch hosts", messageRow),
		newRow(measured, "connections to branch hosts", func(r *resultReader) row {
			kb := (r.slope("CapacityPeer/connected") - r.slope("CapacityPeer/listening")) / 2 / 1000
			mb := hosts * 2 * kb / 1000
			return row{value: kb, slope: fmt.Sprintf("%.0f KB an end", kb), atScale: fmt.Sprintf("1,300 × 2 × %.0f KB = %.0f MB", kb, mb), fits: mb <= maxMemoryMB}
		}),
		memoryRow(measured, "command records", "CapacityCommand", commandRecords),
		memoryRow(measured, "quarantine", "CapacityQuarantine", quarantineEntries),
	}}
}

// subRequestMicroseconds returns the processor time per sub-request, in microseconds.
func (r *resultReader) subRequestMicroseconds(kind string, groups int) float64 {
	return r.get(fmt.Sprintf("Cost/%s/groups=%d", kind, groups), "cpu-ns/sub-request") / 1000
}

// messageRow returns the row of the processor time that the tier adds per query and
// message. The slope between 10 and 40 groups gives the time per sub-request, which is
// subtracted.
func messageRow(r *resultReader) row {
	small := 10 * (r.subRequestMicroseconds("tier", 10) - r.subRequestMicroseconds("bare", 10))
	large := 40 * (r.subRequestMicroseconds("tier", 40) - r.subRequestMicroseconds("bare", 40))
	perSubRequest := (large - small) / 30
	ms := (small - 10*perSubRequest) / 1000
	cores := queriesPerHost * branchHostsPerQuery * ms / 1000
	return row{value: ms, slope: fmt.Sprintf("%.2f ms of processor time per query and message, both ends; %.0f µs per sub-request", ms, perSubRequest),
		atScale: fmt.Sprintf("162 × 260 × %.2f ms = %.0f cores", ms, cores), fits: cores <= maxHostCores}
}

func branchTable(measured results) table {
	return table{"Branch role", []row{
		memoryRow(measured, "state per owned target", "CapacityOwnedTarget", targetsPerHost),
		newRow(measured, "connections to targets", func(r *resultReader) row {
			kb := r.slope("CapacityConnection/pool") / 1000
			return row{value: kb, slope: fmt.Sprintf("%.1f KB with sockets", kb), atScale: fmt.Sprintf("42, %.1f MB", targetsPerHost*connectionsPerTarget*kb/1000), fits: true}
		}),
		newRow(measured, "processor time per sub-request", func(r *resultReader) row {
			tier, sockets := r.subRequestMicroseconds("tier", 40), r.subRequestMicroseconds("sockets", 40)
			return row{value: tier, slope: fmt.Sprintf("%.0f µs with the stand-in's side; the sockets alone %.0f µs", tier, sockets),
				atScale: fmt.Sprintf("210,000/s: %.0f cores; sockets alone %.0f", subRequestsPerHost*tier/1e6, subRequestsPerHost*sockets/1e6), fits: subRequestsPerHost*tier/1e6 <= maxHostCores}
		}),
	}}
}

func controlTable(measured results) table {
	const spread = "Spread/hosts=32"
	return table{"Control (every daemon)", []row{
		newRow(measured, "bytes sent", func(r *resultReader) row {
			quiet, change := r.get(spread, "quiet-B/s")/1000, r.get(spread, "B/change")/1000
			sum := quiet + change/secondsPerChange
			return row{value: quiet, slope: fmt.Sprintf("%.2f KB/s quiet, %.1f KB a change", quiet, change), atScale: fmt.Sprintf("%.1f KB/s of 4", sum), fits: sum <= maxControlKBps}
		}),
		newRow(measured, "processor time", func(r *resultReader) row {
			quiet, change, check := r.get(spread, "quiet-cpu-ms/s"), r.get(spread, "cpu-ms/change"), r.get("Document", "ns/op")/1e6
			percent := (quiet + change/secondsPerChange) / 10
			return row{value: quiet, slope: fmt.Sprintf("%.1f ms/s quiet, %.0f ms a change; the check of the document alone takes %.0f ms", quiet, change, check),
				atScale: fmt.Sprintf("%.1f %% of 1.4", percent), fits: percent <= maxControlCPUPercent}
		}),
		newRow(measured, "memory", func(r *resultReader) row {
			mb := r.get(spread, "MB/host")
			return row{value: mb, slope: fmt.Sprintf("%.1f MB with the document", mb), atScale: fmt.Sprintf("%.1f MB of 64", mb), fits: mb <= maxMemoryMB}
		}),
		newRow(measured, "reads of the service", func(r *resultReader) row {
			reads := r.get(spread, "reads/change")
			sum := readingHosts*2/20 + readingHosts*reads/benchmarkReadingHosts/secondsPerChange
			return row{value: reads, pageIndex: 2, slope: fmt.Sprintf("%.0f reads a change at 32 hosts with 8 watchers, %.1f each", reads, reads/benchmarkReadingHosts),
				atScale: fmt.Sprintf("%.0f/s in all of 2,000", sum), fits: sum <= maxReadsPerSecond}
		}),
		newRow(measured, "time until in force", func(r *resultReader) row {
			const model = "SpreadModel/hosts=1300/readers=%d"
			oneReadingHost, allReadingHosts := r.get(fmt.Sprintf(model, 1), "ms-in-force-max")/1000, r.get(fmt.Sprintf(model, 46), "ms-in-force-max")/1000
			return row{value: oneReadingHost, pageIndex: 4, slope: "model of the contacts, slowest of the seeds 0 to 19", atScale: fmt.Sprintf("%.1f to %.1f s of 6", allReadingHosts, oneReadingHost), fits: oneReadingHost <= maxSpreadSeconds}
		}),
		newRow(measured, "bytes read by a host in its turn", func(r *resultReader) row {
			kb := r.get(spread, "read-B/change/watcher") / 1000
			return row{value: kb, slope: fmt.Sprintf("%.0f KB a change", kb), atScale: fmt.Sprintf("%.1f KB/s of 4", kb/secondsPerChange), fits: kb/secondsPerChange <= maxControlKBps}
		}),
		newRow(measured, "host list read by a host in its turn", func(r *resultReader) row {
			kb := r.get("Document", "list-bytes") / 1000
			return row{value: kb, pageIndex: 1, slope: fmt.Sprintf("%.0f KB plain a version, one each 51 s", kb), atScale: fmt.Sprintf("%.1f KB/s plain of 4", kb/secondsPerRestart), fits: kb/secondsPerRestart <= maxControlKBps}
		}),
		newRow(measured, "a host that joins", func(r *resultReader) row {
			mb := r.get("Document", "bytes") / 1e6
			return row{value: mb, slope: "one document from peers", atScale: fmt.Sprintf("%.2f MB each 51 s in the fleet", mb), fits: true}
		}),
	}}
}

// printTables prints the tables in Markdown, beside the figures of page, the rows of
// docs/CAPACITY.md. The column "at the target" holds the values at the scale target. It
// omits rows that were not measured and returns their number.
func printTables(w io.Writer, measured results, page map[string]pageRow) (missing int) {
	for _, t := range []table{entryTable(measured), branchTable(measured), controlTable(measured)} {
		fmt.Fprintf(w, "## %s\n\n| line | slope | at the target | fits | page's figure | measured / page |\n| --- | --- | ---: | --- | ---: | ---: |\n", t.title)
		for _, r := range t.rows {
			if r.missing {
				missing++
				continue
			}
			pageFigure, ratio := "none", "new"
			if figure, ok := page[r.name].figure(r.pageIndex); ok && figure > 0 {
				pageFigure, ratio = fmt.Sprintf("%g", figure), formatRatio(r.value/figure)
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", r.name, r.slope, r.atScale, map[bool]string{true: "yes", false: "**no**"}[r.fits], pageFigure, ratio)
		}
		fmt.Fprintln(w)
	}
	return missing
}

// formatRatio formats the ratio of a measured figure to that of docs/CAPACITY.md, in
// bold if the two differ by more than maxPageRatio.
func formatRatio(ratio float64) string {
	if ratio > maxPageRatio || ratio < 1/maxPageRatio {
		return fmt.Sprintf("**%.2f**", ratio)
	}
	return fmt.Sprintf("%.2f", ratio)
}

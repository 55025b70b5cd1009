package main

import (
	"fmt"
	"io"
)

// The scale target of docs/design.md, with what follows from it (the table
// "Shape" of docs/CAPACITY.md).
const (
	daemons         = 1300.0
	searchers       = 6800.0
	queryGroups     = 1300.0
	queriesPerHost  = 210_000 / daemons
	openQueries     = 16.0 // of an entry host, at 0.1 s a query
	branchHosts     = 260.0
	subRequests     = queryGroups * queriesPerHost // of a daemon as branch host, 1/s
	ownedTargets    = 2 * searchers / daemons
	targetConns     = 4.0 // slots and spare connections of an owner
	watchers        = 46.0
	changeSeconds   = 86_400 / 1500.0
	restartSeconds  = 86_400 / 1700.0
	commandRecords  = 131_072.0
	quarantineTable = 4096.0
)

// Bounds of one host: memory and processor for control from the scale target;
// cores of a small entry host.
const (
	maxMemoryMB     = 64.0
	maxControlKBps  = 4.0
	maxControlCPU   = 1.4 // percent of a core
	maxReads        = 2000.0
	maxSpread       = 6.0 // seconds
	hostCores       = 8.0
	spreadWatchers  = 8.0 // hosts that read in the benchmark with 32 hosts
	differenceRatio = 1.25
)

// row is a line of a table. value is the measured figure that is compared with
// the number at pageIndex among those of the page's row.
type row struct {
	name, slope, target string
	fits                bool
	value               float64
	pageIndex           int
	missing             bool
}

// table is a table of the page.
type table struct {
	title string
	rows  []row
}

// line makes a row from figures that compute reads.
func line(all results, name string, compute func(r *reader) row) row {
	r := &reader{results: all}
	made := compute(r)
	made.name, made.missing = name, r.missing
	return made
}

// memoryRow is state that grows by bytes per element.
func memoryRow(all results, name, benchmark string, elements float64) row {
	return line(all, name, func(r *reader) row {
		bytes := r.slope(benchmark)
		mb := bytes * elements / 1e6
		return row{value: bytes, slope: fmt.Sprintf("%.0f B", bytes), target: fmt.Sprintf("%.2f MB", mb), fits: mb <= maxMemoryMB}
	})
}

func entryTable(all results) table {
	return table{"Entry role", []row{
		memoryRow(all, "state per known target", "CapacityKnownTarget/entry", searchers),
		line(all, "configuration tree", func(r *reader) row {
			b, mb := r.slope("CapacityKnownTarget/tree"), r.get("Document", "MB")
			return row{value: b, slope: fmt.Sprintf("%.0f B a target, document %.2f MB", b, r.get("Document", "bytes")/1e6), target: fmt.Sprintf("%.1f MB", mb), fits: mb <= maxMemoryMB}
		}),
		line(all, "open queries", func(r *reader) row {
			kb := r.slope("CapacityQuery") / 1000
			mb := kb * queryGroups / 40 / 1000
			return row{value: kb, slope: fmt.Sprintf("%.1f KB per 40 groups, both ends", kb),
				target: fmt.Sprintf("%.1f MB a query × %.0f open = %.0f MB", mb, openQueries, mb*openQueries), fits: mb*openQueries <= maxMemoryMB}
		}),
		line(all, "planning a query", func(r *reader) row {
			us := r.get("Plan/1300", "ns/op") / 1000
			return row{value: us, slope: fmt.Sprintf("%.0f µs at 1,300 groups", us), target: fmt.Sprintf("%.1f %% of a core", us*queriesPerHost/1e4), fits: us*queriesPerHost/1e6 <= hostCores}
		}),
		line(all, "picking a version", func(r *reader) row {
			us := r.get("Pick/1300", "ns/op") / 1000
			return row{value: us, slope: fmt.Sprintf("%.2f µs at 1,300 groups", us), target: fmt.Sprintf("%.3f %% of a core", us*queriesPerHost/1e4), fits: true}
		}),
		line(all, "messages to branch hosts", messages),
		line(all, "connections to branch hosts", func(r *reader) row {
			kb := (r.slope("CapacityPeer/connected") - r.slope("CapacityPeer/listening")) / 2 / 1000
			mb := daemons * 2 * kb / 1000
			return row{value: kb, slope: fmt.Sprintf("%.0f KB an end", kb), target: fmt.Sprintf("1,300 × 2 × %.0f KB = %.0f MB", kb, mb), fits: mb <= maxMemoryMB}
		}),
		memoryRow(all, "command records", "CapacityCommand", commandRecords),
		memoryRow(all, "quarantine", "CapacityQuarantine", quarantineTable),
	}}
}

// cost returns the processor time in microseconds per sub-request.
func (r *reader) cost(kind string, groups int) float64 {
	return r.get(fmt.Sprintf("Cost/%s/groups=%d", kind, groups), "cpu-ns/sub-request") / 1000
}

// messages separates what the tier adds to a query and message from what it
// adds to each sub-request, by the slope between 10 and 40 groups.
func messages(r *reader) row {
	small := 10 * (r.cost("tier", 10) - r.cost("bare", 10))
	large := 40 * (r.cost("tier", 40) - r.cost("bare", 40))
	perSubRequest := (large - small) / 30
	ms := (small - 10*perSubRequest) / 1000
	cores := queriesPerHost * branchHosts * ms / 1000
	return row{value: ms, slope: fmt.Sprintf("%.2f ms of processor time per query and message, both ends; %.0f µs per sub-request", ms, perSubRequest),
		target: fmt.Sprintf("162 × 260 × %.2f ms = %.0f cores", ms, cores), fits: cores <= hostCores}
}

func branchTable(all results) table {
	return table{"Branch role", []row{
		memoryRow(all, "state per owned target", "CapacityOwnedTarget", ownedTargets),
		line(all, "connections to targets", func(r *reader) row {
			kb := r.slope("CapacityConnection/pool") / 1000
			return row{value: kb, slope: fmt.Sprintf("%.1f KB with sockets", kb), target: fmt.Sprintf("42, %.1f MB", ownedTargets*targetConns*kb/1000), fits: true}
		}),
		line(all, "processor time per sub-request", func(r *reader) row {
			tier, sockets := r.cost("tier", 40), r.cost("sockets", 40)
			return row{value: tier, slope: fmt.Sprintf("%.0f µs with the stand-in's side; the sockets alone %.0f µs", tier, sockets),
				target: fmt.Sprintf("210,000/s: %.0f cores; sockets alone %.0f", subRequests*tier/1e6, subRequests*sockets/1e6), fits: subRequests*tier/1e6 <= hostCores}
		}),
	}}
}

func controlTable(all results) table {
	const spread = "Spread/hosts=32"
	return table{"Control (every daemon)", []row{
		line(all, "bytes sent", func(r *reader) row {
			quiet, change := r.get(spread, "quiet-B/s")/1000, r.get(spread, "B/change")/1000
			sum := quiet + change/changeSeconds
			return row{value: quiet, slope: fmt.Sprintf("%.2f KB/s quiet, %.1f KB a change", quiet, change), target: fmt.Sprintf("%.1f KB/s of 4", sum), fits: sum <= maxControlKBps}
		}),
		line(all, "processor time", func(r *reader) row {
			quiet, change, check := r.get(spread, "quiet-cpu-ms/s"), r.get(spread, "cpu-ms/change"), r.get("Document", "ns/op")/1e6
			percent := (quiet + change/changeSeconds) / 10
			return row{value: quiet, slope: fmt.Sprintf("%.1f ms/s quiet, %.0f ms a change; the check of the document alone takes %.0f ms", quiet, change, check),
				target: fmt.Sprintf("%.1f %% of 1.4", percent), fits: percent <= maxControlCPU}
		}),
		line(all, "memory", func(r *reader) row {
			mb := r.get(spread, "MB/host")
			return row{value: mb, slope: fmt.Sprintf("%.1f MB with the document", mb), target: fmt.Sprintf("%.1f MB of 64", mb), fits: mb <= maxMemoryMB}
		}),
		line(all, "reads of the service", func(r *reader) row {
			reads := r.get(spread, "reads/change")
			sum := watchers*2/20 + watchers*reads/spreadWatchers/changeSeconds
			return row{value: reads, pageIndex: 2, slope: fmt.Sprintf("%.0f reads a change at 32 hosts with 8 watchers, %.1f each", reads, reads/spreadWatchers),
				target: fmt.Sprintf("%.0f/s in all of 2,000", sum), fits: sum <= maxReads}
		}),
		line(all, "time until in force", func(r *reader) row {
			const model = "SpreadModel/hosts=1300/readers=%d"
			one, all := r.get(fmt.Sprintf(model, 1), "ms-in-force-max")/1000, r.get(fmt.Sprintf(model, 46), "ms-in-force-max")/1000
			return row{value: one, pageIndex: 4, slope: "model of the contacts, slowest of the seeds 0 to 19", target: fmt.Sprintf("%.1f to %.1f s of 6", all, one), fits: one <= maxSpread}
		}),
		line(all, "bytes read by a host in its turn", func(r *reader) row {
			kb := r.get(spread, "read-B/change/watcher") / 1000
			return row{value: kb, slope: fmt.Sprintf("%.0f KB a change", kb), target: fmt.Sprintf("%.1f KB/s of 4", kb/changeSeconds), fits: kb/changeSeconds <= maxControlKBps}
		}),
		line(all, "host list read by a host in its turn", func(r *reader) row {
			kb := r.get("Document", "list-bytes") / 1000
			return row{value: kb, pageIndex: 1, slope: fmt.Sprintf("%.0f KB plain a version, one each 51 s", kb), target: fmt.Sprintf("%.1f KB/s plain of 4", kb/restartSeconds), fits: kb/restartSeconds <= maxControlKBps}
		}),
		line(all, "a host that joins", func(r *reader) row {
			mb := r.get("Document", "bytes") / 1e6
			return row{value: mb, slope: "one document from peers", target: fmt.Sprintf("%.2f MB each 51 s in the fleet", mb), fits: true}
		}),
	}}
}

// printTables prints the tables and returns the number of rows without a
// measurement, which are left out.
func printTables(w io.Writer, all results, page map[string]pageRow) (missing int) {
	for _, t := range []table{entryTable(all), branchTable(all), controlTable(all)} {
		fmt.Fprintf(w, "## %s\n\n| line | slope | at the target | fits | page's figure | measured / page |\n| --- | --- | ---: | --- | ---: | ---: |\n", t.title)
		for _, r := range t.rows {
			if r.missing {
				missing++
				continue
			}
			old, ratio := "none", "new"
			if figure, ok := page[r.name].figure(r.pageIndex); ok && figure > 0 {
				old, ratio = fmt.Sprintf("%g", figure), compare(r.value/figure)
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", r.name, r.slope, r.target, map[bool]string{true: "yes", false: "**no**"}[r.fits], old, ratio)
		}
		fmt.Fprintln(w)
	}
	return missing
}

// compare marks a figure that is further from the page's than differenceRatio.
func compare(ratio float64) string {
	if ratio > differenceRatio || ratio < 1/differenceRatio {
		return fmt.Sprintf("**%.2f**", ratio)
	}
	return fmt.Sprintf("%.2f", ratio)
}

package main

import (
	"fmt"
	"io"

	"github.com/lacewingyard/lacewingyard/internal/bench"
)

// print prints each run, and for several seeds the sum of each policy.
func (f *benchFlags) print(w io.Writer, runs []*bench.Summary) error {
	if len(runs) == 0 {
		return nil
	}
	var value any = runs
	if f.seeds == 1 && len(f.policies) == 1 {
		value = runs[0]
	}
	return f.format.print(w, value, func(w io.Writer) {
		for _, run := range runs {
			printBench(w, run)
		}
		if f.seeds > 1 {
			for _, policy := range f.policies {
				printSum(w, bench.Sum(runs, bench.Policy(policy)))
			}
		}
	})
}

func printBench(w io.Writer, report *bench.Summary) {
	u := report.Usage
	fmt.Fprintf(w, "case %s, policy %s, seed %d, %.0f s, %d hosts; %.1f of %d cores used, timer lag p99 %.1f ms; links %.0f ms\n",
		report.Case, report.Policy, report.Seed, report.Seconds, report.Hosts, u.CPUPerSecond, u.Cores, u.TimerLagP99, report.LinkMS)
	if u.Saturated {
		fmt.Fprintln(w, "INVALID: the machine was saturated")
	}
	fmt.Fprintln(w, "SERVICE\tSENT\tP50\tP90\tP99\tP99.9\tORACLE P50\tP99\tCOVERAGE\tMIN\tGOODPUT\tEXTRA\tNOT RUN\tUNKNOWN\tERRORS\tVIOLATIONS")
	for _, r := range report.Rows {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.3f\t%.1f\t%.4f\t%d\t%d\t%d\t%d\n",
			r.Service, r.Sent, r.P50, r.P90, r.P99, r.P999, r.Oracle.P50, r.Oracle.P99,
			r.CoverageMean, r.CoverageMin, r.Goodput, r.ExtraLoad, r.NotRun, r.Unknown, r.Errors, r.Violations.Total())
	}
	for _, r := range report.Rows {
		if r.Violations.Total() > 0 {
			fmt.Fprintf(w, "%s: %+v\n", r.Service, r.Violations)
		}
	}
}

func printSum(w io.Writer, sum bench.Total) {
	fmt.Fprintf(w, "policy %s: %d seeds, %d violations in %d of them; %d runs on a saturated machine\n",
		sum.Policy, sum.Runs, sum.Violations.Total(), len(sum.Failed), sum.Saturated)
	if len(sum.Failed) > 0 {
		fmt.Fprintf(w, "seeds %v: %+v\n", sum.Failed, sum.Violations)
	}
}

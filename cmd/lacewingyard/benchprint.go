package main

import (
	"fmt"
	"io"

	"github.com/lacewingyard/lacewingyard/internal/bench"
)

// print prints each run, and the totals of each policy if there are several seeds.
func (f *benchFlags) print(w io.Writer, runs []*bench.Summary) error {
	if len(runs) == 0 {
		return nil
	}
	var value any = runs
	if f.seeds == 1 && len(f.policies) == 1 && len(f.loads) == 1 {
		value = runs[0]
	}
	return f.format.print(w, value, func(w io.Writer) {
		for _, run := range runs {
			printRun(w, run)
		}
		f.printLoads(w, runs)
		if f.seeds > 1 {
			for _, policy := range f.policies {
				printPolicyTotal(w, bench.SumRuns(runs, bench.Policy(policy)))
			}
		}
	})
}

func printRun(w io.Writer, report *bench.Summary) {
	u := report.Usage
	fmt.Fprintf(w, "case %s, policy %s, seed %d, load %g, %.0f s, %d hosts; %.1f of %d cores used, timer lag p99 %.1f ms; links %.0f ms\n",
		report.Case, report.Policy, report.Seed, report.Load, report.Seconds, report.Hosts, u.CPUPerSecond, u.Cores, u.TimerLagP99, report.LinkMS)
	if u.Saturated {
		fmt.Fprintln(w, "INVALID: the machine was saturated during the run")
	}
	fmt.Fprintln(w, "SERVICE\tSENT\tP50\tP90\tP99\tP99.9\tORACLE P50\tP99\tQUEUE P50\tP99\tRESTART P99\tCOVERAGE\tMIN\tGOODPUT\tEXTRA\tNOT RUN\tUNKNOWN\tERRORS\tVIOLATIONS")
	for _, r := range report.Rows {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.3f\t%.1f\t%.4f\t%d\t%d\t%d\t%d\n",
			r.Service, r.Sent, r.P50, r.P90, r.P99, r.P999, r.Oracle.P50, r.Oracle.P99, r.Queue.P50, r.Queue.P99, r.Restart.P99,
			r.CoverageMean, r.CoverageMin, r.Goodput, r.ExtraLoad, r.NotRun, r.Unknown, r.Errors, r.Violations.Total())
	}
	printClasses(w, report)
	for _, r := range report.Rows {
		if r.Violations.Total() > 0 {
			fmt.Fprintf(w, "%s: %+v\n", r.Service, r.Violations)
		}
	}
}

func printClasses(w io.Writer, report *bench.Summary) {
	first := true
	for _, r := range report.Rows {
		for _, c := range r.Classes {
			if first {
				fmt.Fprintln(w, "SERVICE\tCLASS\tSENT\tP50\tP90\tP99\tP99.9\tCOVERAGE\tGOODPUT\tNOT RUN")
				first = false
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.1f\t%d\n",
				r.Service, c.Class, c.Sent, c.P50, c.P90, c.P99, c.P999, c.CoverageMean, c.Goodput, c.NotRun)
		}
	}
}

// printLoads prints, for each policy and seed, a comparison of the loads.
func (f *benchFlags) printLoads(w io.Writer, runs []*bench.Summary) {
	for i := range f.seeds {
		seed := f.opts.Seed + uint64(i)
		for _, policy := range f.policies {
			var same []*bench.Summary
			for _, r := range runs {
				if r.Seed == seed && string(r.Policy) == policy {
					same = append(same, r)
				}
			}
			rows := bench.CompareLoads(same)
			if len(rows) == 0 {
				continue
			}
			fmt.Fprintf(w, "policy %s, seed %d by load: goodput relative to load 1, p99 of the highest class to the lowest load\n", policy, seed)
			fmt.Fprintln(w, "SERVICE\tLOAD\tGOODPUT\tCLASS\tP99\tEXTRA")
			for _, r := range rows {
				fmt.Fprintf(w, "%s\t%g\t%.3f\t%s\t%.2f\t%.4f\n", r.Service, r.Load, r.GoodputRatio, r.HighestClass, r.P99Ratio, r.ExtraLoad)
			}
		}
	}
}

func printPolicyTotal(w io.Writer, sum bench.PolicyTotal) {
	fmt.Fprintf(w, "policy %s: %d seeds, %d violations in %d of them; %d runs on a saturated machine\n",
		sum.Policy, sum.Runs, sum.Violations.Total(), len(sum.FailedSeeds), sum.Saturated)
	if len(sum.FailedSeeds) > 0 {
		fmt.Fprintf(w, "seeds %v: %+v\n", sum.FailedSeeds, sum.Violations)
	}
}

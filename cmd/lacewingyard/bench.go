package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/bench"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/spf13/cobra"
)

// benchGCPercent trades memory for processor time: callers, hosts and stand-ins
// share one process, whose heap is small. It is the same for every policy.
const benchGCPercent = 400

func newBench() *cobra.Command {
	var dir, casesDir, caseName, caseFile, policy, logLevel, cpuProfile string
	opts := bench.Options{Progress: os.Stderr}
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "bench",
		GroupID: "commands",
		Short:   "Measure a deployment on loopback under load and faults",
		Long: "Run a whole deployment in one process on loopback, send it an open-loop load\n" +
			"while a case applies faults, and print a row per service: latency beside that of\n" +
			"an oracle, coverage, goodput, extra load and violations. Progress goes to stderr.\n" +
			"The exit status is 1 if there are violations under policy tier.",
		Example: "  lacewingyard bench --settings examples/new-england --case stragglers --policy tier --seed 1 --seconds 10",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Policy = bench.Policy(policy)
			if !slices.Contains(bench.Policies, opts.Policy) {
				return usageError{fmt.Errorf("--policy: %q is not one of %v", policy, bench.Policies)}
			}
			if opts.Seconds < 0 || opts.Rate < 0 {
				return usageError{fmt.Errorf("--seconds and --rate must not be negative")}
			}
			var err error
			if caseFile != "" {
				opts.Case, err = bench.LoadCase(caseFile)
			} else {
				opts.Case, err = bench.LoadNamed(casesDir, caseName)
			}
			if err != nil {
				return usageError{err}
			}
			deployment, err := fleet.Load(dir)
			if err != nil {
				return usageError{err}
			}
			opts.Logger = hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(logLevel), Output: os.Stderr})
			debug.SetGCPercent(benchGCPercent)
			if cpuProfile != "" {
				file, err := os.Create(cpuProfile)
				if err != nil {
					return usageError{err}
				}
				defer file.Close()
				if err := pprof.StartCPUProfile(file); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			report, err := bench.Run(cmd.Context(), deployment, opts)
			if err != nil {
				return err
			}
			format := output("table")
			if asJSON {
				format = "json"
			}
			if err := format.print(cmd.OutOrStdout(), report, func(w io.Writer) { printBench(w, report) }); err != nil {
				return err
			}
			if n := report.Violations(); n > 0 && opts.Policy == bench.PolicyTier {
				return fmt.Errorf("%d violations", n)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&dir, "settings", "", "directory with config.json and model.json")
	flags.StringVar(&casesDir, "cases", "cases", "directory of the named cases")
	flags.StringVar(&caseName, "case", "calm", "name of a case")
	flags.StringVar(&caseFile, "case-file", "", "case file, instead of a name")
	flags.StringVar(&policy, "policy", string(bench.PolicyTier), "tier, flat or naive")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the load and of the random choices of targets")
	flags.Float64Var(&opts.Seconds, "seconds", 0, "measured time; 0 takes the case's")
	flags.Float64Var(&opts.Rate, "rate", 0, "queries/s over all services; 0 takes the case's load")
	flags.BoolVar(&asJSON, "json", false, "print JSON, with a series by second")
	flags.StringVar(&logLevel, "log-level", "error", "log level of the hosts")
	flags.StringVar(&cpuProfile, "cpuprofile", "", "file for a processor profile of the whole run")
	_ = cmd.MarkFlagRequired("settings")
	cmd.MarkFlagsMutuallyExclusive("case", "case-file")
	return cmd
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

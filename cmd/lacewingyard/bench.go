package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/bench"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/spf13/cobra"
)

// benchGCPercent is the GC percentage (GOGC) of a bench run. It trades memory for
// processor time: callers, hosts and stand-ins share one process with a small heap.
// Every policy runs with the same value.
const benchGCPercent = 400

// benchFlags holds the flags of the bench command.
type benchFlags struct {
	dir, casesDir, caseName, caseFile, reportDir, cpuProfile string

	policies []string
	seeds    int
	loads    []float64
	format   *outputFormat
	logLevel *logLevel
	opts     bench.Options // common to all runs; seed, load and policy are set per run
}

func newBench() *cobra.Command {
	f := &benchFlags{opts: bench.Options{Progress: os.Stderr}}
	cmd := &cobra.Command{
		Use:     "bench",
		GroupID: "commands",
		Short:   "Measure a deployment on loopback under load and faults",
		Long: "Run a whole deployment in one process on loopback, send it an open-loop load\n" +
			"while a case injects faults, and print a row per service: latency beside that of\n" +
			"an oracle and of reference queues, coverage, goodput, extra load and violations,\n" +
			"and a row per priority class if the case defines classes. Progress goes to stderr.\n" +
			"Policies with the same seed, seeds and loads run one after the other. -o json adds\n" +
			"a time series with one point per second, and gives a list if there are several\n" +
			"runs. The exit status is 1 if there are violations under policy tier.",
		Example: "  lacewingyard bench --settings examples/new-england --case stragglers --policy tier --seed 1 --seconds 10\n" +
			"  lacewingyard bench --settings examples/riga --case place-move --policy tier --policy naive --report out\n" +
			"  lacewingyard bench --settings examples/riga --case killer --seeds 20\n" +
			"  lacewingyard bench --settings examples/new-england --case overload --load 0.6,1,1.5",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.dir, "settings", "", "directory with config.json and model.json")
	flags.StringVar(&f.casesDir, "cases", "cases", "directory with the case files that --case names")
	flags.StringVar(&f.caseName, "case", "calm", "name of a case")
	flags.StringVar(&f.caseFile, "case-file", "", "path of a case file, instead of --case")
	flags.StringArrayVar(&f.policies, "policy", []string{string(bench.PolicyTier)}, "tier, flat or naive; may be repeated")
	flags.Uint64Var(&f.opts.Seed, "seed", 1, "first seed of the load and of the random choice of targets")
	flags.IntVar(&f.seeds, "seeds", 1, "number of consecutive seeds, starting with --seed")
	flags.Float64Var(&f.opts.Seconds, "seconds", 0, "measured time of a run in seconds; 0 for the case's")
	flags.Float64Var(&f.opts.Rate, "rate", 0, "total queries/s over all services; 0 for the case's load")
	flags.Float64SliceVar(&f.loads, "load", nil, "load as a fraction of the slots, instead of the case's; several values run one after the other and are compared")
	flags.StringVar(&f.reportDir, "report", "", "output directory of an HTML report with plots; several seeds or loads get a subdirectory each")
	f.logLevel = logLevelFlag(cmd, "error")
	flags.StringVar(&f.cpuProfile, "cpuprofile", "", "output file of a CPU profile of all runs")
	f.format = outputFlag(cmd)
	f.format.jsonAlias(cmd)
	_ = cmd.MarkFlagRequired("settings")
	cmd.MarkFlagsMutuallyExclusive("case", "case-file")
	cmd.MarkFlagsMutuallyExclusive("load", "rate")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	deployment, err := f.loadInputs()
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(benchGCPercent)
	if f.cpuProfile != "" {
		file, err := os.Create(f.cpuProfile)
		if err != nil {
			return usageError{err}
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	runs, err := f.runAll(cmd.Context(), deployment)
	// Completed runs are printed even if a later run failed.
	if printErr := f.print(cmd.OutOrStdout(), runs); err == nil {
		err = printErr
	}
	if err != nil {
		return err
	}
	if n := bench.SumRuns(runs, bench.PolicyTier).Violations.Total(); n > 0 {
		return fmt.Errorf("%d violations", n)
	}
	return nil
}

// loadInputs validates the flags, creates the report directory if one is given, and loads
// the case and the deployment.
func (f *benchFlags) loadInputs() (*fleet.Deployment, error) {
	for i, policy := range f.policies {
		if !slices.Contains(bench.Policies, bench.Policy(policy)) {
			return nil, fmt.Errorf("--policy: %q is not one of %v", policy, bench.Policies)
		}
		if slices.Contains(f.policies[:i], policy) {
			return nil, fmt.Errorf("--policy: %q is given twice", policy)
		}
	}
	if f.opts.Seconds < 0 || f.opts.Rate < 0 {
		return nil, fmt.Errorf("--seconds and --rate must not be negative")
	}
	if slices.ContainsFunc(f.loads, func(load float64) bool { return load <= 0 }) {
		return nil, fmt.Errorf("--load: every value must be above 0, got %v", f.loads)
	}
	if len(f.loads) == 0 {
		f.loads = []float64{0}
	}
	if f.seeds < 1 {
		return nil, fmt.Errorf("--seeds must be at least 1, not %d", f.seeds)
	}
	if f.reportDir != "" { // created before the runs, so that a directory that cannot be created is reported first
		if err := os.MkdirAll(f.reportDir, 0o755); err != nil {
			return nil, fmt.Errorf("--report: %w", err)
		}
	}
	var err error
	if f.caseFile != "" {
		f.opts.Case, err = bench.LoadCase(f.caseFile)
	} else {
		f.opts.Case, err = bench.LoadNamedCase(f.casesDir, f.caseName)
	}
	if err != nil {
		return nil, err
	}
	f.opts.Logger = hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(string(*f.logLevel)), Output: os.Stderr})
	return fleet.Load(f.dir)
}

// runAll runs every policy with every seed and load. On an error it also returns
// the runs completed before the error.
func (f *benchFlags) runAll(ctx context.Context, deployment *fleet.Deployment) ([]*bench.Summary, error) {
	var runs []*bench.Summary
	for i := range f.seeds {
		for _, load := range f.loads {
			opts := f.opts
			opts.Seed += uint64(i)
			opts.Load = load
			for _, policy := range f.policies {
				opts.Policy = bench.Policy(policy)
				run, err := bench.Run(ctx, deployment, opts)
				if err != nil {
					return runs, fmt.Errorf("policy %s, seed %d: %w", policy, opts.Seed, err)
				}
				runs = append(runs, run)
			}
			if f.reportDir == "" {
				continue
			}
			if err := bench.WriteReport(f.runReportDir(opts), runs[len(runs)-len(f.policies):]); err != nil {
				return runs, err
			}
		}
	}
	return runs, nil
}

// runReportDir returns the report directory for the seed and load of a run.
func (f *benchFlags) runReportDir(opts bench.Options) string {
	dir := f.reportDir
	if f.seeds > 1 {
		dir = filepath.Join(dir, fmt.Sprintf("seed-%d", opts.Seed))
	}
	if len(f.loads) > 1 {
		dir = filepath.Join(dir, fmt.Sprintf("load-%g", opts.Load))
	}
	return dir
}

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

// benchGCPercent trades memory for processor time: callers, hosts and stand-ins
// share one process, whose heap is small. It is the same for every policy.
const benchGCPercent = 400

// benchFlags are the flags of the bench command.
type benchFlags struct {
	dir, casesDir, caseName, caseFile, reportDir, cpuProfile string

	policies []string
	seeds    int
	loads    []float64
	format   *output
	logLevel *logLevel
	opts     bench.Options // of every run, without policy
}

func newBench() *cobra.Command {
	f := &benchFlags{opts: bench.Options{Progress: os.Stderr}}
	cmd := &cobra.Command{
		Use:     "bench",
		GroupID: "commands",
		Short:   "Measure a deployment on loopback under load and faults",
		Long: "Run a whole deployment in one process on loopback, send it an open-loop load\n" +
			"while a case applies faults, and print a row per service: latency beside that of\n" +
			"an oracle and of queues, coverage, goodput, extra load and violations, and\n" +
			"a row per priority class if the case states classes. Progress goes to stderr.\n" +
			"Several policies run one after the other with the same seed, several seeds and\n" +
			"loads one after the other. With -o json there is a series by second, and a list if there\n" +
			"are several runs. The exit status is 1 if there are violations under policy tier.",
		Example: "  lacewingyard bench --settings examples/new-england --case stragglers --policy tier --seed 1 --seconds 10\n" +
			"  lacewingyard bench --settings examples/riga --case place-move --policy tier --policy naive --report out\n" +
			"  lacewingyard bench --settings examples/riga --case killer --seeds 20\n" +
			"  lacewingyard bench --settings examples/new-england --case overload --load 0.6,1,1.5",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.dir, "settings", "", "directory with config.json and model.json")
	flags.StringVar(&f.casesDir, "cases", "cases", "directory of the named cases")
	flags.StringVar(&f.caseName, "case", "calm", "name of a case")
	flags.StringVar(&f.caseFile, "case-file", "", "case file, instead of a name")
	flags.StringArrayVar(&f.policies, "policy", []string{string(bench.PolicyTier)}, "tier, flat or naive; may be given several times")
	flags.Uint64Var(&f.opts.Seed, "seed", 1, "first seed of the load and of the random choices of targets")
	flags.IntVar(&f.seeds, "seeds", 1, "number of seeds, counted up from --seed")
	flags.Float64Var(&f.opts.Seconds, "seconds", 0, "measured time of a run; 0 takes the case's")
	flags.Float64Var(&f.opts.Rate, "rate", 0, "queries/s over all services; 0 takes the case's load")
	flags.Float64SliceVar(&f.loads, "load", nil, "fraction of the slots, instead of the case's load; several run one after the other and are compared")
	flags.StringVar(&f.reportDir, "report", "", "directory for an HTML page with plots; with several seeds or loads, one directory inside it for each")
	f.logLevel = logLevelFlag(cmd, "error")
	flags.StringVar(&f.cpuProfile, "cpuprofile", "", "file for a processor profile of all runs")
	f.format = outputFlag(cmd)
	f.format.jsonAlias(cmd)
	_ = cmd.MarkFlagRequired("settings")
	cmd.MarkFlagsMutuallyExclusive("case", "case-file")
	cmd.MarkFlagsMutuallyExclusive("load", "rate")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	deployment, err := f.load()
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
	// What has run is printed even if a later run failed.
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

// load checks the flags and reads the files they name.
func (f *benchFlags) load() (*fleet.Deployment, error) {
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
		return nil, fmt.Errorf("--load: %v has a load that is not above 0", f.loads)
	}
	if len(f.loads) == 0 {
		f.loads = []float64{0}
	}
	if f.seeds < 1 {
		return nil, fmt.Errorf("--seeds: %d is below 1", f.seeds)
	}
	if f.reportDir != "" { // a directory that cannot be written would be found only after the runs
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

// runAll runs every policy with every seed and load and returns the runs that
// ended.
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
			if err := bench.WriteReport(f.pageDir(opts), runs[len(runs)-len(f.policies):]); err != nil {
				return runs, err
			}
		}
	}
	return runs, nil
}

// pageDir returns the directory of the page for one seed and load.
func (f *benchFlags) pageDir(opts bench.Options) string {
	dir := f.reportDir
	if f.seeds > 1 {
		dir = filepath.Join(dir, fmt.Sprintf("seed-%d", opts.Seed))
	}
	if len(f.loads) > 1 {
		dir = filepath.Join(dir, fmt.Sprintf("load-%g", opts.Load))
	}
	return dir
}

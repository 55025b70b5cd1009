package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/demo"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

// demoCheckTimeout bounds the start of the deployment and the check of its answers.
const demoCheckTimeout = 2 * time.Minute

// Bounds of --for and --rate.
const (
	maxSessionDuration = time.Hour
	maxSessionRate     = 200 // searches/s; background load for an operator's session, not a measurement
)

// prepareSession creates the session's directory and configures the hosts to write
// spans into it.
func prepareSession(session *demo.Session, d *fleet.Deployment) (err error) {
	if session.Dir == "" {
		session.Dir, err = os.MkdirTemp("", "lacewingyard-demo-")
	} else {
		err = os.MkdirAll(session.Dir, 0o700)
	}
	// The sample ratio is 0: only requests that a caller traces are traced.
	d.Traces = settings.Traces{File: filepath.Join(session.Dir, demo.TraceFile)}
	return err
}

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	dir      string
	queries  int
	tenants  bool
	session  demo.Session
	format   *outputFormat
	logLevel *logLevel
}

func newDemo() *cobra.Command {
	f := &demoFlags{session: demo.Session{Output: os.Stderr}}
	cmd := &cobra.Command{
		Use:     "demo",
		GroupID: "commands",
		Short:   "Run a whole deployment on loopback and check its answers",
		Long: "Run a whole deployment in one process on loopback: stand-ins for the platform\n" +
			"and the searchers, and every entry host with real sockets between them. Send\n" +
			"queries to each service and compare each answer with a naive search of all\n" +
			"records. The exit status is 1 if an answer was wrong.\n\n" +
			"With --for the deployment keeps running after the check. The addresses of all\n" +
			"hosts are written to standard error. The directory of --dir holds the configuration\n" +
			"and the host list, which are published when their files change, the trace file, and\n" +
			"process settings for replacements of the hosts.",
		Example: "  lacewingyard demo --settings examples/new-england\n" +
			"  lacewingyard demo --settings examples/new-england --for 10m --dir /tmp/lacewingyard-demo",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.format = outputFlag(cmd)
	f.format.jsonAlias(cmd)
	f.logLevel = logLevelFlag(cmd, "warn")
	flags := cmd.Flags()
	flags.StringVar(&f.dir, "settings", "", "directory with config.json and model.json")
	flags.BoolVar(&f.tenants, "tenants", false, "give the deployment two tenants; their keys are written to the directory tenants in that of --dir")
	flags.IntVar(&f.queries, "queries", 50, "number of queries to each service")
	flags.DurationVar(&f.session.Duration, "for", 0, "time for which the deployment keeps running after the check, such as 10m")
	flags.StringVar(&f.session.Dir, "dir", "", "directory for the files of a deployment that keeps running; empty for a new temporary directory")
	flags.Float64Var(&f.session.Rate, "rate", 20, "total searches/s over all search services while the deployment keeps running; 0 for none")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// loadDeployment validates the flags, loads the deployment and, with --for, prepares the
// session.
func (f *demoFlags) loadDeployment() (*fleet.Deployment, error) {
	switch session := &f.session; {
	case f.queries < 1:
		return nil, fmt.Errorf("--queries must be at least 1, not %d", f.queries)
	case session.Duration < 0 || session.Duration > maxSessionDuration:
		return nil, fmt.Errorf("--for must be 0 to %s, not %s", maxSessionDuration, session.Duration)
	case session.Rate < 0 || session.Rate > maxSessionRate:
		return nil, fmt.Errorf("--rate must be 0 to %d, not %v", maxSessionRate, session.Rate)
	case session.Dir != "" && session.Duration == 0:
		return nil, fmt.Errorf("--dir has no effect without --for")
	}
	deployment, err := fleet.Load(f.dir)
	if err == nil && f.session.Duration > 0 {
		err = prepareSession(&f.session, deployment)
	}
	return deployment, err
}

func (f *demoFlags) run(cmd *cobra.Command) error {
	deployment, err := f.loadDeployment()
	if err != nil {
		return usageError{err}
	}
	opts := demo.Options{
		Queries: f.queries, Timeout: demoCheckTimeout, HTTPClient: &http.Client{Transport: httpanswer.DefaultTransport}, Progress: os.Stderr,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(string(*f.logLevel)), Output: os.Stderr}),
		Rand:   rand.New(rand.NewPCG(deployment.Model.Seed, 2)),
	}
	if f.tenants {
		f.session.Keys = demo.AddTenants(deployment)
		opts.HTTPClient = f.session.Keys.Client()
	}
	opts.AfterCheck = func(ctx context.Context, running *fleet.Fleet, report *demo.Report) error {
		err := f.format.print(cmd.OutOrStdout(), report, func(w io.Writer) { printDemo(w, report) })
		if err != nil || f.session.Duration == 0 {
			return err
		}
		return f.session.Run(ctx, running, opts)
	}
	report, err := demo.Run(cmd.Context(), deployment, opts)
	if err != nil {
		return err
	}
	if wrong := report.WrongOrMissing(); wrong > 0 {
		return fmt.Errorf("%d answers were wrong or missing", wrong)
	}
	return nil
}

func printDemo(w io.Writer, report *demo.Report) {
	fmt.Fprintf(w, "%d hosts, %d searchers\n\n", report.Hosts, report.Searchers)
	fmt.Fprintln(w, "SERVICE\tKIND\tSENT\tEQUAL TO NAIVE\tWRONG\tREFUSED\tCOVERAGE\tSNAPSHOTS\tP50 ms\tP90 ms\tP99 ms")
	names := make([]string, 0, len(report.Services))
	for name := range report.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := report.Services[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.4f\t%v\t%.1f\t%.1f\t%.1f\n",
			name, s.Kind, s.Sent, s.Equal, s.Wrong, s.Refused, s.Coverage, s.Snapshots, s.P50MS, s.P90MS, s.P99MS)
	}
	if len(report.Tenants) > 0 {
		fmt.Fprintln(w)
		printTenants(w, report.Tenants)
	}
	for _, name := range names {
		if sample := report.Services[name].Sample; sample != "" {
			fmt.Fprintf(w, "\n%s: %s", name, sample)
		}
	}
	fmt.Fprintln(w)
}

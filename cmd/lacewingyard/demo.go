package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/demo"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/spf13/cobra"
)

// demoLimit bounds the whole demo.
const demoLimit = 2 * time.Minute

func newDemo() *cobra.Command {
	var dir, logLevel string
	var queries int
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "demo",
		GroupID: "commands",
		Short:   "Run a whole deployment on loopback and check its answers",
		Long: "Run a whole deployment in one process on loopback: stand-ins for the platform\n" +
			"and the searchers, and every entry host with real sockets between them. Send\n" +
			"queries to each service and compare each answer with a naive search of all\n" +
			"records. The exit status is 1 if an answer was wrong.",
		Example: "  lacewingyard demo --settings examples/new-england",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if queries < 1 {
				return usageError{fmt.Errorf("--queries must be at least 1, not %d", queries)}
			}
			deployment, err := fleet.Load(dir)
			if err != nil {
				return usageError{err}
			}
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(logLevel), Output: os.Stderr})
			report, err := demo.Run(cmd.Context(), deployment, demo.Options{
				Queries: queries, Limit: demoLimit, Logger: log, HTTP: http.DefaultClient,
				Rand: rand.New(rand.NewPCG(deployment.Model.Seed, 2)),
			})
			if err != nil {
				return err
			}
			format := output("table")
			if asJSON {
				format = "json"
			}
			if err := format.print(cmd.OutOrStdout(), report, func(w io.Writer) { printDemo(w, report) }); err != nil {
				return err
			}
			if wrong := report.Wrong(); wrong > 0 {
				return fmt.Errorf("%d answers were wrong", wrong)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&dir, "settings", "", "directory with config.json and model.json")
	flags.IntVar(&queries, "queries", 50, "queries to each service")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.StringVar(&logLevel, "log-level", "warn", "log level of the hosts")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
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
	for _, name := range names {
		if sample := report.Services[name].Sample; sample != "" {
			fmt.Fprintf(w, "\n%s: %s", name, sample)
		}
	}
	fmt.Fprintln(w)
}

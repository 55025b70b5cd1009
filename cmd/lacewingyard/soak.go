package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/soak"
	"github.com/spf13/cobra"
)

func newSoak() *cobra.Command {
	var seed uint64
	var seeds, hosts, callers int
	var length time.Duration
	cmd := &cobra.Command{
		Use:     "soak",
		GroupID: "commands",
		Short:   "Run hosts on loopback under random faults and check the promises",
		Long: "Run hosts of the platform edge as separate processes on loopback, with stand-ins\n" +
			"of the store and of targets, inject faults drawn from a seed and check what callers\n" +
			"and targets see. Exit status 1 means that a promise was broken; the output of the\n" +
			"hosts is kept then.",
		Example: "  lacewingyard soak --seed 7 --for 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			failed := 0
			for i := range uint64(seeds) {
				dir, err := os.MkdirTemp("", "lacewingyard-soak-")
				if err != nil {
					return err
				}
				report, err := soak.Run(cmd.Context(), soak.Options{
					Binary: binary, Dir: dir, Seed: seed + i, Hosts: hosts, Callers: callers, FaultDuration: length,
					Logf: func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) },
				})
				if err != nil {
					return errors.Wrapf(err, "seed %d (output of the hosts in %s)", seed+i, dir)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d calls, %d served, %d runs, %d changes judged, %d promises broken\n", seed+i, report.Calls, report.Served, report.Runs, report.CheckedChanges, len(report.Violations))
				for _, broken := range report.Violations {
					fmt.Fprintln(cmd.OutOrStdout(), " ", broken)
				}
				if len(report.Violations) > 0 {
					failed++
					fmt.Fprintln(cmd.OutOrStdout(), "  output of the hosts:", dir)
					continue
				}
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
			}
			if failed > 0 {
				return errors.Newf("%d of %d seeds broke a promise", failed, seeds)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().IntVar(&hosts, "hosts", 6, "host processes")
	cmd.Flags().IntVar(&callers, "callers", 12, "concurrent callers")
	cmd.Flags().DurationVar(&length, "for", 20*time.Second, "how long faults are injected")
	return cmd
}

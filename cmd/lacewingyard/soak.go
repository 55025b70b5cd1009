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
	var seeds, hosts, callers, keepers, heldBodies int
	var faultDuration, grace time.Duration
	var planned bool
	var binary string
	cmd := &cobra.Command{
		Use:     "soak",
		GroupID: "commands",
		Short:   "Run hosts on loopback under random faults and check the guarantees",
		Long: "Run hosts of the platform edge as separate processes on loopback, with stand-ins\n" +
			"for the store and the targets, inject faults drawn from a seed and check the\n" +
			"guarantees against what callers and targets observe. The exit status is 1 if a\n" +
			"guarantee was violated; the output of the hosts is then kept.",
		Example: "  lacewingyard soak --seed 7 --for 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if binary == "" {
				var err error
				if binary, err = os.Executable(); err != nil {
					return err
				}
			}
			failed := 0
			for i := range uint64(seeds) {
				dir, err := os.MkdirTemp("", "lacewingyard-soak-")
				if err != nil {
					return err
				}
				report, err := soak.Run(cmd.Context(), soak.Options{
					Binary: binary, Dir: dir, Seed: seed + i, Hosts: hosts, Callers: callers, Keepers: keepers, HeldBodies: heldBodies, Grace: grace, FaultDuration: faultDuration, PlannedOnly: planned,
					Logf: func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) },
				})
				if err != nil {
					return errors.Wrapf(err, "seed %d (output of the hosts in %s)", seed+i, dir)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d calls, %d served, %d runs, %d changes checked, %v, %v, peak memory of a host %d MB, %d violations\n", seed+i, report.Calls, report.Served, report.Runs, report.CheckedChanges, report.Routes, report.Rollbacks, report.PeakMemory>>20, len(report.Violations))
				fmt.Fprintf(cmd.ErrOrStderr(), "tenants: %v\n", report.Tenants)
				if report.RepeatableInStops.Calls+report.OnceInStops.Calls > 0 {
					fmt.Fprintf(cmd.ErrOrStderr(), "repeatable: %v; run once: %v\n", report.RepeatableInStops, report.OnceInStops)
				}
				for _, violation := range report.Violations {
					fmt.Fprintln(cmd.OutOrStdout(), " ", violation)
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
				return errors.Newf("%d of %d seeds had violations", failed, seeds)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of consecutive seeds, run one after the other")
	cmd.Flags().IntVar(&hosts, "hosts", 6, "number of host processes")
	cmd.Flags().IntVar(&callers, "callers", 12, "number of concurrent callers")
	cmd.Flags().IntVar(&keepers, "keepers", 6, "number of callers that open connections ahead and use them until a host closes them")
	cmd.Flags().IntVar(&heldBodies, "held-bodies", 0, "number of callers that hold large bodies open, in each such fault; 0: no such fault")
	cmd.Flags().BoolVar(&planned, "planned", false, "make planned changes only, among them stops of hosts, and inject no faults")
	cmd.Flags().StringVar(&binary, "host-binary", "", "executable of the hosts, to check another build; default: this one")
	cmd.Flags().DurationVar(&grace, "grace", 3*time.Second, "time between SIGTERM and SIGKILL of a host that is stopped")
	cmd.Flags().DurationVar(&faultDuration, "for", 20*time.Second, "time during which faults are injected")
	return cmd
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

// abortOnSignal ends a shutdown at the next signal.
func abortOnSignal(d *daemon.Daemon) {
	again := make(chan os.Signal, 1)
	signal.Notify(again, os.Interrupt, syscall.SIGTERM)
	<-again
	d.Abort()
}

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve",
		GroupID: "commands",
		Short:   "Run one entry host in the foreground",
		Long: "Run one entry host in the foreground. On SIGTERM or SIGINT it finishes the\n" +
			"requests in progress and exits with status 0; a second signal ends it at once.",
		Example: "  lacewingyard serve --settings /etc/lacewingyard/host.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			process, err := settings.LoadProcess(file)
			if err != nil {
				return usageError{err}
			}
			keys, err := peer.LoadKeys(process.TLS)
			if err != nil {
				return usageError{err}
			}
			log := hclog.New(&hclog.LoggerOptions{
				Name: "lacewingyard", Level: hclog.LevelFromString(process.LogLevel), Output: os.Stderr, JSONFormat: true,
			})
			tracer, err := telemetry.NewTracer(cmd.Context(), process.Traces, process.Name, process.Place)
			if err != nil {
				return err
			}
			metrics := telemetry.NewMetrics()
			metrics.Counter("handshakes_refused_total", "Handshakes with peers that had no certificate of the authority.",
				func() float64 { return float64(keys.Refused()) })
			d, err := daemon.New(daemon.Options{Process: process, TLS: keys.Config(), Logger: log, Metrics: metrics, Tracer: tracer})
			if err != nil {
				return err
			}
			go keys.Watch(cmd.Context(), func(err error) {
				if err != nil {
					log.Error("key files were not reloaded", "error", err)
					return
				}
				log.Info("key files reloaded")
			})
			// The first signal ends the command's context; a second one is
			// caught here.
			context.AfterFunc(cmd.Context(), func() { abortOnSignal(d) })
			return errors.CombineErrors(d.Run(cmd.Context()), tracer.Close())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "process settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

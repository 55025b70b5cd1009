package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "process settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs a host with the process settings of a file until the context ends.
func serve(ctx context.Context, file string) error {
	process, err := settings.LoadProcess(file)
	if err != nil {
		return usageError{err}
	}
	keys, err := peer.LoadCredentials(process.TLS)
	if err != nil {
		return usageError{fmt.Errorf("%s: tls: %w", file, err)}
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: "lacewingyard", Level: hclog.LevelFromString(process.LogLevel), Output: os.Stderr, JSONFormat: true,
	})
	tracer, err := telemetry.NewTracer(ctx, process.Traces, process.Name, process.Place)
	if err != nil {
		return usageError{fmt.Errorf("%s: traces: %w", file, err)}
	}
	metrics := telemetry.NewMetrics()
	metrics.Counter("handshakes_refused_total", "Handshakes with peers that had no certificate of the authority.",
		func() float64 { return float64(keys.RefusedHandshakes()) })
	d, err := daemon.New(daemon.Options{Process: process, TLS: keys.TLSConfig(), Logger: log, Metrics: metrics, Tracer: tracer})
	if err != nil {
		return err
	}
	go keys.Watch(ctx, func(err error) {
		if err != nil {
			log.Error("key files were not reloaded", "error", err)
			return
		}
		log.Info("key files reloaded")
	})
	go warnWhileWaiting(ctx, log, d.Ready(), &process.Platform)
	// The first signal ends the command's context; a second one is
	// caught here.
	context.AfterFunc(ctx, func() { abortOnSignal(d) })
	return errors.CombineErrors(d.Run(ctx), tracer.Close())
}

// waitWarning is the time between two warnings of a host that has no
// configuration yet.
const waitWarning = 3 * time.Second

// warnWhileWaiting says why nothing listens yet: a host that neither the
// platform nor a peer gives a configuration opens no listener, so that status
// and metrics cannot tell.
func warnWhileWaiting(ctx context.Context, log hclog.Logger, ready <-chan struct{}, platform *settings.Platform) {
	began := time.Now()
	every := time.NewTicker(waitWarning)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			log.Warn("no configuration and host list that the platform or a peer confirms; the host serves nothing yet",
				"waiting", time.Since(began).Round(time.Second).String(), "config_url", platform.ConfigURL, "hosts_url", platform.HostsURL)
		case <-ready:
			return
		case <-ctx.Done():
			return
		}
	}
}

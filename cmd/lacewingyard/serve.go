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
	"github.com/lacewingyard/lacewingyard/internal/logsink"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/spf13/cobra"
)

// abortOnInterrupt waits for the next SIGINT and aborts the shutdown.
func abortOnInterrupt(d *daemon.Daemon) {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt)
	<-interrupts
	d.Abort()
}

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve",
		GroupID: "commands",
		Short:   "Run one entry host in the foreground",
		Long: "Run one entry host in the foreground. On SIGTERM or SIGINT the host finishes the\n" +
			"requests in progress and exits with status 0. A further SIGTERM has no effect, an\n" +
			"interrupt (SIGINT) then aborts the requests. SIGHUP reloads changed key files.",
		Example: "  lacewingyard serve --settings /etc/lacewingyard/host.json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "process settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs a host with the process settings of a file. When the context ends it
// shuts the host down gracefully.
func serve(ctx context.Context, file string) error {
	// SIGHUP is caught first: its default action terminates the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	process, err := settings.LoadProcess(file)
	if err != nil {
		return usageError{err}
	}
	keys, err := peer.LoadCredentials(process.TLS)
	if err != nil {
		return usageError{fmt.Errorf("%s: tls: %w", file, err)}
	}
	sink := logsink.New(os.Stderr)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "lacewingyard", Level: hclog.LevelFromString(process.LogLevel), Output: sink, JSONFormat: true,
	})
	ignoreClosedOutput()
	handleRepeatedSignals(log, syscall.SIGTERM)
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
	untilExit, exit := context.WithCancel(context.WithoutCancel(ctx)) // a stopping host still opens connections to peers
	defer exit()
	go keys.Watch(untilExit, hup, func(err error) {
		if err != nil {
			log.Error("key files could not be reloaded", "error", err)
			return
		}
		log.Info("key files reloaded")
	})
	go warnUntilReady(ctx, log, d.Ready(), &process.Platform)
	// The first signal ends the context and starts the graceful shutdown.
	context.AfterFunc(ctx, func() { abortOnInterrupt(d) })
	return errors.CombineErrors(d.Run(ctx), tracer.Close())
}

// waitWarningInterval is the interval between warnings of a host that has no
// configuration yet.
const waitWarningInterval = 3 * time.Second

// warnUntilReady logs a warning at each interval until the host is ready. A host
// opens its listeners only once the platform or a peer has confirmed a configuration
// and a host list, so until then status and metrics cannot show what is missing.
func warnUntilReady(ctx context.Context, log hclog.Logger, ready <-chan struct{}, platform *settings.Platform) {
	start := time.Now()
	ticker := time.NewTicker(waitWarningInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			log.Warn("neither the platform nor a peer has confirmed a configuration and a host list; the host serves nothing yet",
				"waiting", time.Since(start).Round(time.Second).String(), "config_url", platform.ConfigURL, "hosts_url", platform.HostsURL)
		case <-ready:
			return
		case <-ctx.Done():
			return
		}
	}
}

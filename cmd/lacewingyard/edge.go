package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/logsink"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/platform"
	"github.com/spf13/cobra"
)

// storeConnect bounds the time to open a connection to the platform's store; a
// lost opening packet is sent again after a second.
const storeConnect = 1500 * time.Millisecond

func newEdge() *cobra.Command {
	var flags edgeFlags
	var check bool
	cmd := &cobra.Command{
		Use:     "edge",
		GroupID: "commands",
		Short:   "Run one host on the users' platform in the foreground",
		Long: "Run one host on the users' platform in the foreground. It reads the platform's\n" +
			"settings file, follows the platform's store and serves callers. On SIGTERM or\n" +
			"SIGINT it leaves the directory, finishes the requests in progress and exits with\n" +
			"status 0.",
		Example: "  " + platform.SettingsVariable + "=/etc/lacewingyard/boot.yaml lacewingyard edge",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if check {
				s, err := loadEdgeSettings(flags.file)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "settings of %s in %s are valid\n", s.Name, s.Place)
				}
				return err
			}
			return runEdge(cmd.Context(), flags)
		},
	}
	cmd.Flags().StringVar(&flags.file, "settings", "", "the platform's settings file (YAML); default: the path in "+platform.SettingsVariable)
	cmd.Flags().StringVar(&flags.level, "log-level", "info", "trace, debug, info, warn or error")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	cmd.Flags().Uint16Var(&flags.port, "metrics-port", 0, "TCP port of metrics and status on the host's address; 0: none")
	cmd.Flags().StringVar(&flags.traces.Endpoint, "trace-endpoint", "", "URL to which spans are sent by OTLP over HTTP; empty: none are")
	cmd.Flags().StringVar(&flags.traces.File, "trace-file", "", "file to which spans are written instead")
	cmd.Flags().Float64Var(&flags.traces.SampleRatio, "trace-sample", 0.001, "fraction of the requests that are traced; those that a caller traces always are")
	return cmd
}

// edgeFlags are the settings of a host that the platform's file does not have.
type edgeFlags struct {
	file, level string
	port        uint16 // of metrics and status
	traces      settings.Traces
}

// check reports values that make no sense.
func (f *edgeFlags) check() error {
	switch {
	case hclog.LevelFromString(f.level) == hclog.NoLevel:
		return usageError{errors.Newf("--log-level: %q is no level", f.level)}
	case f.traces.Endpoint != "" && f.traces.File != "":
		return usageError{errors.New("--trace-endpoint and --trace-file: one of them at most")}
	case f.traces.SampleRatio < 0 || f.traces.SampleRatio > 1:
		return usageError{errors.Newf("--trace-sample: %g is outside 0 to 1", f.traces.SampleRatio)}
	default:
		return nil
	}
}

// settingsFile returns the path of the settings file, by default the one that the
// platform names in the environment.
func settingsFile(file string) string {
	if file == "" {
		return os.Getenv(platform.SettingsVariable)
	}
	return file
}

// loadEdgeSettings reads the settings file.
func loadEdgeSettings(file string) (site.Settings, error) {
	file = settingsFile(file)
	if file == "" {
		return site.Settings{}, usageError{errors.Newf("no settings file: set --settings or %s", platform.SettingsVariable)}
	}
	s, err := platform.LoadSettings(file)
	if err != nil {
		return s, usageError{err}
	}
	return s, nil
}

func runEdge(ctx context.Context, flags edgeFlags) error {
	// From here on the signal no longer ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := flags.check(); err != nil {
		return err
	}
	host, err := loadEdgeSettings(flags.file)
	if err != nil {
		return err
	}
	tracer, err := telemetry.NewTracer(ctx, flags.traces, host.Name, host.Place)
	if err != nil {
		return usageError{err}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(flags.level), Output: sink, JSONFormat: true})
	store := platform.NewStore(host.StoreAddress, storeConnect)
	store.OnInvalidItem = func(err error) { log.Warn("an item of the store cannot be read and names nothing", "error", err) }
	metrics := edge.NewMetrics()
	options := edge.Options{
		Site: host, Store: store, Codec: platform.Codec{}, Observer: metrics, Tracer: tracer, Log: log,
		Handlers: edge.Handlers{
			Callers: platform.CallerHandler, Directory: platform.DirectoryHandler, Ready: platform.ReadyHandler, Metrics: metrics.Handler(),
		},
	}
	if flags.port != 0 {
		options.OperatorsAddress = net.JoinHostPort(host.IP, strconv.Itoa(int(flags.port)))
	}
	process, err := edge.New(options)
	if err != nil {
		return err
	}
	metrics.RegisterHost(process)
	go followSettings(ctx, hup, settingsFile(flags.file), log, process.Reload)
	return errors.CombineErrors(process.Run(ctx), tracer.Close())
}

// settingsEvery is how often the settings file is looked at: it may change without
// a signal.
const settingsEvery = 2 * time.Second

// followSettings reloads the settings file at SIGHUP and when it has changed. A
// file that cannot be used changes nothing.
func followSettings(ctx context.Context, hup <-chan os.Signal, file string, log hclog.Logger, reload func(site.Settings)) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last, _ := os.ReadFile(file) // it was read a moment ago
	for {
		select {
		case <-hup:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		changed, err := platform.ParseSettings(data)
		if err != nil {
			log.Error("the settings file was not reloaded", "file", file, "error", err)
			continue
		}
		reload(changed)
	}
}

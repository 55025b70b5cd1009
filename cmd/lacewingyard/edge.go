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

// storeConnectTimeout bounds the time to open a connection to the platform's store. It
// allows for one lost SYN, which TCP retransmits after 1 s.
const storeConnectTimeout = 1500 * time.Millisecond

func newEdge() *cobra.Command {
	var flags edgeFlags
	var check bool
	cmd := &cobra.Command{
		Use:     "edge",
		GroupID: "commands",
		Short:   "Run one host on the users' platform in the foreground",
		Long: "Run one host on the users' platform in the foreground. The host reads the platform's\n" +
			"settings file, watches the platform's store and serves callers. On SIGTERM or\n" +
			"SIGINT the host leaves the directory, finishes the requests in progress and exits\n" +
			"with status 0. Further ones have no effect.",
		Example: "  " + platform.SettingsVariable + "=/etc/lacewingyard/boot.yaml lacewingyard edge",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if check {
				s, err := loadHostSettings(flags.file)
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
	cmd.Flags().Uint16Var(&flags.port, "metrics-port", 0, "TCP port for metrics and status on the host's address; 0 for none")
	cmd.Flags().StringVar(&flags.traces.Endpoint, "trace-endpoint", "", "URL to which spans are exported with OTLP over HTTP; empty for no export")
	cmd.Flags().StringVar(&flags.traces.File, "trace-file", "", "file to which spans are written, instead of --trace-endpoint")
	cmd.Flags().Float64Var(&flags.traces.SampleRatio, "trace-sample", 0.001, "fraction of requests that are traced, 0 to 1; requests that a caller traces always are")
	return cmd
}

// edgeFlags holds the path of the platform's settings file and the settings of a host
// that are not in it.
type edgeFlags struct {
	file, level string
	port        uint16 // for metrics and status; 0 for none
	traces      settings.Traces
}

// validate returns a usageError for the first invalid value.
func (f *edgeFlags) validate() error {
	switch {
	case hclog.LevelFromString(f.level) == hclog.NoLevel:
		return usageError{errors.Newf("--log-level: %q is not a log level", f.level)}
	case f.traces.Endpoint != "" && f.traces.File != "":
		return usageError{errors.New("--trace-endpoint and --trace-file are mutually exclusive")}
	case f.traces.SampleRatio < 0 || f.traces.SampleRatio > 1:
		return usageError{errors.Newf("--trace-sample: %g is outside 0 to 1", f.traces.SampleRatio)}
	default:
		return nil
	}
}

// settingsPath returns file or, if that is empty, the path in the environment variable
// that the platform sets. The result is empty if neither is set.
func settingsPath(file string) string {
	if file == "" {
		return os.Getenv(platform.SettingsVariable)
	}
	return file
}

// loadHostSettings loads the settings file. Errors are usageErrors.
func loadHostSettings(file string) (site.Settings, error) {
	file = settingsPath(file)
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
	// SIGHUP is caught first: its default action terminates the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := flags.validate(); err != nil {
		return err
	}
	hostSettings, err := loadHostSettings(flags.file)
	if err != nil {
		return err
	}
	tracer, err := telemetry.NewTracer(ctx, flags.traces, hostSettings.Name, hostSettings.Place)
	if err != nil {
		return usageError{err}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: "lacewingyard", Level: hclog.LevelFromString(flags.level), Output: sink, JSONFormat: true})
	ignoreClosedOutput()
	handleRepeatedSignals(log, os.Interrupt, syscall.SIGTERM)
	store := platform.NewStore(hostSettings.StoreAddress, storeConnectTimeout)
	store.OnInvalidItem = func(err error) { log.Warn("cannot decode an item of the store; the item has no content", "error", err) }
	metrics := edge.NewMetrics()
	options := edge.Options{
		Site: hostSettings, Store: store, Codec: platform.Codec{}, Observer: metrics, Tracer: tracer, Log: log,
		Handlers: edge.Handlers{
			Callers: platform.CallerHandler, Directory: platform.DirectoryHandler, Ready: platform.ReadyHandler, Metrics: metrics.Handler(),
		},
	}
	if flags.port != 0 {
		options.OperatorsAddress = net.JoinHostPort(hostSettings.IP, strconv.Itoa(int(flags.port)))
	}
	edgeHost, err := edge.New(options)
	if err != nil {
		return err
	}
	metrics.RegisterHost(edgeHost)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(lastReloadTimeout, stop) })
	go func() {
		defer stop()
		watchSettings(ctx, hup, settingsPath(flags.file), log, edgeHost.Reload)
	}()
	return errors.CombineErrors(edgeHost.Run(serving), tracer.Close())
}

// settingsPollInterval is the interval at which the settings file is polled; the file
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// lastReloadTimeout bounds how long a stop waits for the last read of the settings file, which
// a stalled disk may hold up. The reserve at the end of the grace period covers it.
const lastReloadTimeout = 100 * time.Millisecond

// watchSettings calls reload with the new settings when the contents of the file have
// changed; it compares them at SIGHUP, at each poll and once more when the context ends:
// the grace period of the stop may have changed just before. An unreadable or invalid file
// leaves the settings as they are.
func watchSettings(ctx context.Context, hup <-chan os.Signal, file string, log hclog.Logger, reload func(site.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(file) // the file was loaded just before; on an error the first poll reloads it
	for ended := false; !ended; {
		select {
		case <-hup:
		case <-ticker.C:
		case <-ctx.Done():
			ended = true
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		changed, err := platform.ParseSettings(data)
		if err != nil {
			log.Error("settings file is invalid and was not reloaded", "file", file, "error", err)
			continue
		}
		reload(changed)
	}
}

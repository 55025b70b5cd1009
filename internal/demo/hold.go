package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// filePoll is how often the published files are looked at for a change.
const filePoll = 200 * time.Millisecond

// Names in the directory of a deployment that is held open.
const (
	configFile = "config.json" // published when it changes
	hostsFile  = "hosts.json"  // published when it changes
	// TraceFile holds the spans of the queries that are sampled.
	TraceFile = "traces.json"
	keysDir   = "keys"
	spareDir  = "replacements" // process settings, one file for each host
)

// Session keeps a deployment running for operators.
type Session struct {
	Duration time.Duration
	Dir      string  // for the files that operators read and change
	Rate     float64 // queries/s that go on meanwhile, over all services
	Output   io.Writer
}

// heldFile is a file whose content is published when it changes.
type heldFile struct {
	path, key string
	version   uint64 // published last
	seen      []byte
}

// Run writes the files, prints the addresses, and publishes what operators
// write into the configuration and the host list until the time is over or the
// context ends.
func (h *Session) Run(ctx context.Context, f *fleet.Fleet, opts Options) error {
	ctx, cancel := context.WithTimeout(ctx, h.Duration)
	defer cancel()
	files, err := h.write(f)
	if err != nil {
		return err
	}
	h.announce(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.drive(ctx, f, opts)
	}()
	defer func() { <-done }()
	poll := time.NewTicker(filePoll)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			for _, file := range files {
				file.publish(f, h.Output)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// write writes the published values, and the process settings and keys of a
// replacement for each host.
func (h *Session) write(f *fleet.Fleet) ([]*heldFile, error) {
	for _, dir := range []string{h.Dir, filepath.Join(h.Dir, keysDir), filepath.Join(h.Dir, spareDir)} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, errors.Wrap(err, "directory of the deployment")
		}
	}
	list := f.HostList()
	config := &heldFile{path: filepath.Join(h.Dir, configFile), key: fleet.ConfigKey, version: f.Tree().Doc.Version}
	hosts := &heldFile{path: filepath.Join(h.Dir, hostsFile), key: fleet.HostsKey, version: list.Version}
	for file, value := range map[*heldFile]any{config: f.Tree().Doc, hosts: list} {
		var err error
		if file.seen, err = writeJSON(file.path, value); err != nil {
			return nil, err
		}
	}
	for _, host := range f.Running() {
		if err := h.writeReplacement(f, host); err != nil {
			return nil, err
		}
	}
	return []*heldFile{config, hosts}, nil
}

// writeReplacement writes the process settings of a host that can take over
// the ordinal of another.
func (h *Session) writeReplacement(f *fleet.Fleet, host *fleet.Host) error {
	dir, err := filepath.Abs(h.Dir)
	if err != nil {
		return err
	}
	name := host.Entry.Name + "-b"
	keys, err := f.Authority.WriteFiles(filepath.Join(dir, keysDir), name)
	if err != nil {
		return errors.Wrap(err, "key files")
	}
	listen, err := freeAddresses()
	if err != nil {
		return err
	}
	f.Network.Register(listen.Peers, host.Entry.Place, 0)
	_, err = writeJSON(filepath.Join(dir, spareDir, host.Entry.Name+".json"), settings.Process{
		Name: name, Place: host.Entry.Place, Ordinal: host.Entry.Ordinal, TLS: keys, LogLevel: "info", Listen: listen,
		Platform: settings.Platform{ConfigURL: f.Platform.URL(fleet.ConfigKey), HostsURL: f.Platform.URL(fleet.HostsKey)},
		Traces:   settings.Traces{File: filepath.Join(dir, TraceFile)},
	})
	return err
}

// freeAddresses returns loopback addresses on which nothing listens now.
func freeAddresses() (settings.Listen, error) {
	var addresses [2]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return settings.Listen{}, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return settings.Listen{}, err
	}
	defer c.Close()
	return settings.Listen{Callers: addresses[0], Operators: addresses[1], Peers: c.LocalAddr().String()}, nil
}

func writeJSON(file string, value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, err
	}
	data = append(data, '\n')
	return data, errors.Wrap(os.WriteFile(file, data, 0o600), "write file of the deployment")
}

// announce prints where everything is.
func (h *Session) announce(f *fleet.Fleet) {
	fmt.Fprintf(h.Output, "\nThe deployment runs for %s; interrupt to end it earlier.\n\n", h.Duration)
	hosts := f.Running()
	slices.SortFunc(hosts, func(a, b *fleet.Host) int { return bytes.Compare([]byte(a.Entry.Name), []byte(b.Entry.Name)) })
	for _, host := range hosts {
		fmt.Fprintf(h.Output, "%-24s callers %-21s operators http://%s/status\n", host.Entry.Name, host.Entry.Callers, host.Operators)
	}
	fmt.Fprintf(h.Output, "\nconfiguration  %s (raise \"version\" and save to publish)\nhost list      %s (likewise)\ntraces         %s\nreplacements   %s\n",
		filepath.Join(h.Dir, configFile), filepath.Join(h.Dir, hostsFile), filepath.Join(h.Dir, TraceFile), filepath.Join(h.Dir, spareDir))
}

// publish publishes the file if it has changed. What the hosts would refuse is
// published as well, so that operators can see the refusal; only a document
// without a higher version cannot be published.
func (file *heldFile) publish(f *fleet.Fleet, output io.Writer) {
	data, err := os.ReadFile(file.path)
	if err != nil || bytes.Equal(data, file.seen) {
		return // an editor may be replacing the file
	}
	file.seen = data
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		fmt.Fprintf(output, "%s is not published: %v\n", file.path, err)
		return
	}
	if head.Version <= file.version {
		fmt.Fprintf(output, "%s is not published: its version %d is not above %d\n", file.path, head.Version, file.version)
		return
	}
	file.version = head.Version
	f.Platform.Publish(file.key, head.Version, data)
	fmt.Fprintf(output, "%s: version %d published\n", file.path, head.Version)
}

// drive sends queries at a constant rate to the addresses that callers are told
// to use, and prints what became of them.
func (h *Session) drive(ctx context.Context, f *fleet.Fleet, opts Options) {
	if h.Rate <= 0 {
		return
	}
	var names []string
	for name, service := range f.Tree().Doc.Services {
		if service.Kind == settings.KindSearch {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	load := newDriver(f, opts)
	every := time.NewTicker(time.Duration(float64(time.Second) / h.Rate))
	defer every.Stop()
	for n := 0; ; n++ {
		select {
		case <-every.C:
			load.send(ctx, names[n%len(names)])
		case <-ctx.Done():
			load.wait()
			fmt.Fprintf(h.Output, "%d queries were sent meanwhile: %s\n", n, load)
			return
		}
	}
}

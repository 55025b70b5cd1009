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

// filePollInterval is the interval at which the published files are polled for changes.
const filePollInterval = 200 * time.Millisecond

// Names of the files and directories in Session.Dir.
const (
	configFile = "config.json" // published when it changes
	hostsFile  = "hosts.json"  // published when it changes
	// TraceFile contains the spans of the sampled requests.
	TraceFile       = "traces.json"
	keysDir         = "keys"
	replacementsDir = "replacements" // process settings of a replacement for each host
)

// Session keeps a deployment running for operators. Its Output is written to by two
// goroutines.
type Session struct {
	Duration time.Duration // for which the deployment keeps running
	Dir      string        // of the files that operators read and edit; created if missing
	Rate     float64       // total searches/s of the background load over all search services; 0 for none
	Output   io.Writer
	Keys     Keys // of tenants, written to files; nil without tenants
}

// publishedFile is a file that is published when its content changes.
type publishedFile struct {
	path, key string
	version   uint64 // last published
	content   []byte // last read
}

// Run writes the files, prints the addresses, and publishes the configuration and the
// host list when operators change their files, until Duration has passed or the context
// ends. It returns after the background load has stopped. An error means that the files
// could not be written.
func (s *Session) Run(ctx context.Context, f *fleet.Fleet, opts Options) error {
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	files, err := s.writeFiles(f)
	if err != nil {
		return err
	}
	s.printAddresses(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.generateLoad(ctx, f, opts)
	}()
	defer func() { <-done }()
	poll := time.NewTicker(filePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			for _, file := range files {
				file.publish(f, s.Output)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// writeFiles writes the published values, and the process settings and keys of a
// replacement for each host.
func (s *Session) writeFiles(f *fleet.Fleet) ([]*publishedFile, error) {
	for _, dir := range []string{s.Dir, filepath.Join(s.Dir, keysDir), filepath.Join(s.Dir, replacementsDir)} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, errors.Wrap(err, "create directory of the deployment")
		}
	}
	if err := s.Keys.write(s.Dir); err != nil {
		return nil, err
	}
	hostList := f.HostList()
	config := &publishedFile{path: filepath.Join(s.Dir, configFile), key: fleet.ConfigKey, version: f.Tree().Doc.Version}
	hosts := &publishedFile{path: filepath.Join(s.Dir, hostsFile), key: fleet.HostsKey, version: hostList.Version}
	for file, value := range map[*publishedFile]any{config: f.Tree().Doc, hosts: hostList} {
		var err error
		if file.content, err = writeJSON(file.path, value); err != nil {
			return nil, err
		}
	}
	for _, host := range f.Running() {
		if err := s.writeReplacement(f, host); err != nil {
			return nil, err
		}
	}
	return []*publishedFile{config, hosts}, nil
}

// writeReplacement writes the keys and process settings of a process that can take over
// the ordinal of a host.
func (s *Session) writeReplacement(f *fleet.Fleet, host *fleet.Host) error {
	dir, err := filepath.Abs(s.Dir)
	if err != nil {
		return err
	}
	name := host.Entry.Name + "-b"
	keys, err := f.Authority.WriteFiles(filepath.Join(dir, keysDir), name)
	if err != nil {
		return errors.Wrap(err, "write key files")
	}
	listen, err := freeAddresses()
	if err != nil {
		return err
	}
	f.Network.Register(listen.Peers, host.Entry.Place, 0)
	_, err = writeJSON(filepath.Join(dir, replacementsDir, host.Entry.Name+".json"), settings.Process{
		Name: name, Place: host.Entry.Place, Ordinal: host.Entry.Ordinal, TLS: keys, LogLevel: "info", Listen: listen,
		Platform: settings.Platform{ConfigURL: f.Platform.URL(fleet.ConfigKey), HostsURL: f.Platform.URL(fleet.HostsKey)},
		Traces:   settings.Traces{File: filepath.Join(dir, TraceFile)},
	})
	return err
}

// freeAddresses returns loopback addresses that are currently unused.
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

// printAddresses prints the addresses of the hosts and the paths of the files.
func (s *Session) printAddresses(f *fleet.Fleet) {
	fmt.Fprintf(s.Output, "\nThe deployment runs for %s; interrupt the command to stop it earlier.\n\n", s.Duration)
	hosts := f.Running()
	slices.SortFunc(hosts, func(a, b *fleet.Host) int { return bytes.Compare([]byte(a.Entry.Name), []byte(b.Entry.Name)) })
	for _, host := range hosts {
		fmt.Fprintf(s.Output, "%-24s callers %-21s operators http://%s/status\n", host.Entry.Name, host.Entry.Callers, host.Operators)
	}
	fmt.Fprintf(s.Output, "\nconfiguration  %s (raise \"version\" and save to publish)\nhost list      %s (likewise)\ntraces         %s\nreplacements   %s\n",
		filepath.Join(s.Dir, configFile), filepath.Join(s.Dir, hostsFile), filepath.Join(s.Dir, TraceFile), filepath.Join(s.Dir, replacementsDir))
}

// publish publishes the file if its content has changed and its version is higher than
// the last one. The document is not validated otherwise: operators can then see how the
// hosts refuse an invalid one.
func (file *publishedFile) publish(f *fleet.Fleet, output io.Writer) {
	data, err := os.ReadFile(file.path)
	if err != nil || bytes.Equal(data, file.content) {
		return // read errors are ignored: an editor may be replacing the file
	}
	file.content = data
	var header struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		fmt.Fprintf(output, "%s is not published: %v\n", file.path, err)
		return
	}
	if header.Version <= file.version {
		fmt.Fprintf(output, "%s is not published: its version %d is not above %d\n", file.path, header.Version, file.version)
		return
	}
	file.version = header.Version
	f.Platform.Publish(file.key, header.Version, data)
	fmt.Fprintf(output, "%s: version %d published\n", file.path, header.Version)
}

// generateLoad sends searches at a constant rate, in turn to each search service, at the
// addresses that are given to callers, and prints the results at the end.
func (s *Session) generateLoad(ctx context.Context, f *fleet.Fleet, opts Options) {
	if s.Rate <= 0 {
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
	generator := newLoadGenerator(f, opts)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			generator.send(ctx, names[n%len(names)])
		case <-ctx.Done():
			generator.wait()
			fmt.Fprintf(s.Output, "background load of %d searches: %s\n", n, generator)
			return
		}
	}
}

// Command standin plays one case of the review: it starts a host of the project, stand-ins for
// the platform's store and searchers, and callers, and checks what they saw.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

var startedAt = time.Now()

// play is one run of a case.
type play struct {
	store     *store
	host      *host
	searchers []*searcher
	shards    []*rawSearcher
	busy      []*rawSearcher // of a service of their own
	broken    []string       // ids of requests for which the rule was broken
	trouble   bool
	record    io.Writer
}

// note writes a line with the time since the start to the record.
func (p *play) note(format string, args ...any) {
	_, _ = fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// searcherCount is the number of searchers of a case.
const searcherCount = 3

var cases = map[string]struct {
	work time.Duration // that a searcher needs for a request
	run  func(*play) (broken bool, err error)
}{
	"stop":  {900 * time.Millisecond, lateRequestsOfAStop},
	"again": {900 * time.Millisecond, signalsInSeries},
	"parts": {5 * time.Millisecond, bytesAfterParts},
	"once":  {20 * time.Millisecond, bytesAfterRefusals},
	"leave": {300 * time.Millisecond, callersThatEndTheirSide},
}

const (
	service      = "renewals"
	repeatable   = "/renewal/" // idempotent
	unrepeatable = "/once/"    // non_idempotent

	busyService      = "bulletin"
	busyCount        = 5               // searchers of busyService
	busyRepeatable   = "/notice/"      // idempotent
	busyUnrepeatable = "/notice-once/" // non_idempotent
)

func configuration() map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"name": name, "hostname": hostName, "prefix": prefix, "route_type": kind,
			"timeout_ms": timeLimit.Milliseconds(), "target_latency_ms": 600, "priority": 2, "service": service, "attempts": 2}
	}
	services := []any{serviceEntry(service, 100), serviceEntry(busyService, 100)}
	var shards []string
	for i := range shardCount {
		shards = append(shards, shardName(i))
		services = append(services, serviceEntry(shardName(i), 36))
	}
	sweepRoute := map[string]any{"name": "r-3", "hostname": hostName, "prefix": sweep, "route_type": "idempotent",
		"timeout_ms": sweepLimit.Milliseconds(), "target_latency_ms": 200, "priority": 1, "gather": shards, "attempts": 2, "top_k": topRecords, "min_shard_ratio": 0.89}
	return map[string]any{
		"config_version": 7,
		"routes": []any{
			route("r-1", repeatable, "idempotent", service), route("r-2", unrepeatable, "non_idempotent", service), sweepRoute,
			route("r-4", busyRepeatable, "idempotent", busyService), route("r-5", busyUnrepeatable, "non_idempotent", busyService),
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func shardName(i int) string { return fmt.Sprintf("tagdesk-%d", i) }

func serviceEntry(name string, connections int) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		os.Exit(2)
	}
	broken, err := playCase(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func playCase(name, binary, recordFile string) (broken bool, err error) {
	c, ok := cases[name]
	if !ok {
		return false, fmt.Errorf("there is no case %q", name)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := os.Create(recordFile)
	if err != nil {
		return false, err
	}
	defer func() { _ = record.Close() }()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", record: record}
	p.note("case %q, disruption: %v", name, p.trouble)
	if p.store, err = newStore(); err != nil {
		return false, err
	}
	p.store.put("op/config", configuration())
	if err := p.startSearchers(c.work); err != nil {
		return false, err
	}
	if p.host, err = startHost(binary, folder, p.store.address); err != nil {
		return false, err
	}
	defer p.host.kill()
	endEarly(p.host)
	p.note("the host is ready; the searchers of the service take %v for a request", c.work)
	// contact_ms and the time after which a host knows that it is alone are over.
	time.Sleep(4500 * time.Millisecond)
	broken, err = c.run(p)
	p.note("rule broken: %v, error: %v", broken, err)
	p.copyLog(filepath.Join(folder, "host.log"))
	return broken, err
}

// logLines is the number of lines of the host's log that go into the record at most.
const logLines = 60

// copyLog copies the host's log into the record: the lines of requests in p.broken, if there
// are any, and otherwise the first ones.
func (p *play) copyLog(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		p.note("the host's log cannot be read: %v", err)
		return
	}
	_, _ = fmt.Fprintf(p.record, "\nfrom the host's log:\n")
	left := logLines
	for line := range strings.Lines(string(data)) {
		isBroken := func(id string) bool { return strings.Contains(line, id) }
		if left > 0 && (len(p.broken) == 0 || slices.ContainsFunc(p.broken, isBroken)) {
			_, _ = io.WriteString(p.record, line)
			left--
		}
	}
}

// startSearchers starts the searchers of all services and writes their entries.
func (p *play) startSearchers(work time.Duration) error {
	for i := range searcherCount {
		s, err := newSearcher(fmt.Sprintf("i-%07x", 0x7f3a91c+i), service, work)
		if err != nil {
			return err
		}
		p.searchers = append(p.searchers, s)
		p.store.put("servers/"+s.id, entryOf(s.service, s.address, slotCount))
	}
	raw := func(id, service string, slots int, seed uint64, spoils func(bool) bool) (*rawSearcher, error) {
		s, err := newRawSearcher(id, service, slots, work, seed, spoils)
		if err == nil {
			p.store.put("servers/"+s.id, entryOf(s.service, s.address, slots))
		}
		return s, err
	}
	for i := range shardCount * copies {
		s, err := raw(fmt.Sprintf("i-%07x", 0x02d9e60+i), shardName(i%shardCount), 4, uint64(i), func(bool) bool { return true })
		if err != nil {
			return err
		}
		p.shards = append(p.shards, s)
	}
	for i := range busyCount {
		s, err := raw(fmt.Sprintf("i-%07x", 0x05c1b70+i), busyService, 3, uint64(i), func(refusal bool) bool { return refusal })
		if err != nil {
			return err
		}
		p.busy = append(p.busy, s)
	}
	return nil
}

// longest bounds a run; a script may take 120 s.
const longest = 110 * time.Second

// endEarly kills the host and ends this program when it is stopped or takes too long.
func endEarly(h *host) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		h.kill()
		fmt.Fprintln(os.Stderr, "the case could not run: it was stopped or took too long")
		os.Exit(2)
	}()
}

// noteRuns records the runs of a request and returns how many there were.
func (p *play) noteRuns(id string) int {
	runs := runsOf(p.searchers, id)
	for _, r := range runs {
		end := "has not ended yet"
		if !r.ended.IsZero() {
			end = fmt.Sprintf("ended at %.3f s, answered by the searcher: %v", r.ended.Sub(startedAt).Seconds(), r.answered)
		}
		p.note("  began to run at %s at %.3f s, %s", r.searcher, r.at.Sub(startedAt).Seconds(), end)
	}
	return len(runs)
}

package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// BenchmarkSpread runs complete daemons over loopback QUIC with a configuration of
// 6,800 targets and measures the cost of the control plane per host. All hosts of a
// run share the processors of one machine and each checks the whole configuration,
// so larger fleets need a smaller configuration.
//
// Environment: SPREAD_HOSTS lists the fleet sizes (default 8,32), SPREAD_GROUPS is
// the number of groups of three targets (default 2266), and SPREAD_PLAIN=1 makes the
// stand-in platform answer without compression.
//
// Reported per host: heap; without changes, datagrams and bytes sent and processor
// time per second; with a change each 4 s, the additional bytes sent and processor
// time per change. Bytes include IP and UDP headers, and processor time includes the
// stand-in platform. Reported for the whole fleet: reads of the platform, and the
// longest time until a change was in force on every host.
func BenchmarkSpread(b *testing.B) {
	sizes := os.Getenv("SPREAD_HOSTS")
	if sizes == "" {
		sizes = "8,32"
	}
	for text := range strings.SplitSeq(sizes, ",") {
		hosts, err := strconv.Atoi(text)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("hosts="+text, func(b *testing.B) {
			for b.Loop() {
				benchmarkSpread(b, hosts)
			}
		})
	}
}

const (
	idleDuration   = 20 * time.Second // the length of one watch call
	changes        = 4
	changeInterval = 4 * time.Second
)

func benchmarkSpread(b *testing.B, hosts int) {
	groups := 6800 / 3
	if text := os.Getenv("SPREAD_GROUPS"); text != "" {
		var err error
		if groups, err = strconv.Atoi(text); err != nil {
			b.Fatal(err)
		}
	}
	before := heapBytes()
	places := min(23, max(3, hosts/8))
	s := newControlFleet(b, newDocument(places, hosts, groups))
	s.platform.SetUncompressed(os.Getenv("SPREAD_PLAIN") != "")
	s.startAll()
	s.waitUntil(30*time.Second, "version 1 everywhere", func() bool { return s.inForce(1) })
	time.Sleep(3 * time.Second) // until the reads and handshakes of the start are over
	b.ReportMetric((heapBytes()-before)/float64(hosts)/1e6, "MB/host")
	quiet := s.measure(idleDuration, func() {})
	quiet.report(b, "quiet", hosts)

	var slowest time.Duration
	readBefore := s.readBytes()
	busy := s.measure(changes*changeInterval, func() {
		for i := range changes {
			began := time.Now()
			version := s.doc.Version
			s.publish(func(doc *settings.Document) { doc.Services["tags"].Groups[i*groups/8].Targets[0].Slots++ })
			s.waitUntil(membership.PropagationLimit, "the change is in force", func() bool { return s.inForce(version) })
			slowest = max(slowest, time.Since(began))
			time.Sleep(time.Until(began.Add(changeInterval)))
		}
	})
	b.ReportMetric(busy.reads/changes, "reads/change")
	read := (s.readBytes() - readBefore) / changes
	b.ReportMetric(read/float64(places*configsync.WatchersPerPlace), "read-B/change/watcher")
	b.ReportMetric(read/float64(hosts), "read-B/change/host")
	perChange := (busy.bytes - quiet.bytes*changes*changeInterval.Seconds()/idleDuration.Seconds()) / changes / float64(hosts)
	b.ReportMetric(perChange, "B/change")
	cpu := (busy.cpu - quiet.cpu*changes*changeInterval.Seconds()/idleDuration.Seconds()) / changes / float64(hosts)
	b.ReportMetric(cpu*1000, "cpu-ms/change")
	b.ReportMetric(slowest.Seconds()*1000, "ms-in-force-max")
}

// readBytes returns the bytes that all hosts have read from the configuration service.
func (s *controlFleet) readBytes() (bytes float64) {
	for _, h := range s.hosts {
		bytes += float64(h.daemon.control.clients[wire.PublishedConfig].BytesRead())
	}
	return bytes
}

// resourceUse is the traffic and processor time of the fleet in a period.
type resourceUse struct{ seconds, bytes, datagrams, reads, cpu float64 }

func (s *controlFleet) measure(d time.Duration, run func()) resourceUse {
	began, bytes, datagrams, reads, cpu := time.Now(), s.bytes.Load(), s.datagrams.Load(), s.platform.Reads(), cpuSeconds()
	run()
	time.Sleep(time.Until(began.Add(d)))
	return resourceUse{time.Since(began).Seconds(), float64(s.bytes.Load() - bytes), float64(s.datagrams.Load() - datagrams),
		float64(s.platform.Reads() - reads), cpuSeconds() - cpu}
}

func (c resourceUse) report(b *testing.B, when string, hosts int) {
	n := float64(hosts) * c.seconds
	b.ReportMetric(c.bytes/n, when+"-B/s")
	b.ReportMetric(c.datagrams/n, when+"-datagrams/s")
	b.ReportMetric(c.cpu/n*1000, when+"-cpu-ms/s")
	b.ReportMetric(c.reads/c.seconds, when+"-reads/s")
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return (time.Duration(usage.Utime.Nano()) + time.Duration(usage.Stime.Nano())).Seconds()
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkDocument measures the check of a configuration of 6,800 targets, and
// reports the sizes of the configuration and of a list of 1,300 hosts.
func BenchmarkDocument(b *testing.B) {
	doc := newDocument(23, 1300, 6800/3)
	raw, err := json.Marshal(&doc)
	if err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	tree, err := settings.Parse(raw)
	if err != nil {
		b.Fatal(err)
	}
	held := heapBytes() - before
	runtime.KeepAlive(tree)
	for b.Loop() {
		if _, err := settings.Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(held/1e6, "MB")
	b.ReportMetric(float64(len(raw)), "bytes")
	list := platform.HostList{Version: 1}
	for place, p := range doc.Places {
		for ordinal := range p.Hosts {
			list.Hosts = append(list.Hosts, platform.Host{Name: fmt.Sprintf("%s-%d", place, ordinal), Place: place, Ordinal: ordinal,
				State: platform.HostLive, Callers: "10.20.30.40:8080", Peers: "10.20.30.40:8443"})
		}
	}
	if raw, err = json.Marshal(&list); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "list-bytes")
}

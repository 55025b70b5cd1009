package soak

import (
	"bufio"
	"bytes"
	"context"
	"debug/buildinfo"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// memoryInterval is the time between two samples of a host's memory.
	memoryInterval = 200 * time.Millisecond
	// memoryTimeout bounds one read of a host's metrics; the host may be paused.
	memoryTimeout = time.Second
	// maxMemoryFraction is the fraction of the limit in the settings that a host may use.
	maxMemoryFraction = 0.5
	// runtimeMemoryMetric is the memory that the Go runtime of a host has obtained from the
	// system so far. It never falls.
	runtimeMemoryMetric = "go_memstats_sys_bytes"
)

// watchMemory samples the memory of all hosts until the context ends and reports each host
// that used more than maxMemoryFraction of its limit or whose memory was never read.
func (s *testFleet) watchMemory(ctx context.Context) {
	peaks := make([]int64, len(s.hosts))
	var watchers sync.WaitGroup
	for i, h := range s.hosts {
		watchers.Go(func() { peaks[i] = s.watchHostMemory(ctx, h) })
	}
	watchers.Wait()
	s.peakMemory = slices.Max(peaks)
}

// watchHostMemory is watchMemory for one host. It returns the most memory that the host used.
func (s *testFleet) watchHostMemory(ctx context.Context, h *host) (peak int64) {
	const limit = maxMemoryFraction * platformtest.MemoryLimitBytes
	reported := false
	for ctx.Err() == nil {
		peak = max(peak, s.memoryUse(ctx, h))
		if float64(peak) > limit && !reported {
			reported = true
			s.checker.Fail(fmt.Sprintf("%s used %d MB of memory", h.Name, peak>>20))
		}
		sleep(ctx, memoryInterval)
	}
	if peak == 0 {
		s.checker.Fail(fmt.Sprintf("the memory of %s was never read", h.Name))
	}
	return peak
}

// memoryUse returns the peak resident memory of a host's process, in bytes, or 0 if it cannot
// be read. The resident memory of a build with the race detector includes the detector's own,
// which is larger than the host's. For such a build the result is what the Go runtime has
// obtained so far, resident or not, and the resident part of files, above all the executable:
// no less than the resident memory would be without the detector.
func (s *testFleet) memoryUse(ctx context.Context, h *host) int64 {
	pid := h.pid.Load()
	if !s.raceDetector {
		return processMemory(pid, "VmHWM")
	}
	obtained := s.runtimeMemory(ctx, h)
	if obtained == 0 {
		return 0
	}
	return obtained + processMemory(pid, "RssFile")
}

// runtimeMemory returns the value of runtimeMemoryMetric of a host, or 0 if it does not answer.
func (s *testFleet) runtimeMemory(ctx context.Context, h *host) int64 {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address(h.Ports.Operators)+edge.MetricsPath, nil)
	if err != nil {
		return 0
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return metricValue(resp.Body, runtimeMemoryMetric)
}

// metricValue returns the value of a metric without labels in the Prometheus text format, or
// 0 if it is not there.
func metricValue(metrics io.Reader, name string) int64 {
	for lines := bufio.NewScanner(metrics); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			if value, err := strconv.ParseFloat(text, 64); err == nil {
				return int64(value)
			}
		}
	}
	return 0
}

// processMemory returns a field of /proc/PID/status in bytes, or 0 if the process does not run.
func processMemory(pid int64, field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), field+":"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			if err == nil {
				return kb << 10
			}
		}
	}
	return 0
}

// hasRaceDetector returns whether an executable was built with the race detector.
func hasRaceDetector(executable string) (bool, error) {
	info, err := buildinfo.ReadFile(executable)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "-race" && s.Value == "true" }), nil
}

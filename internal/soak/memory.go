package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// memoryInterval is the time between two samples of the hosts' memory.
	memoryInterval = 200 * time.Millisecond
	// maxMemoryFraction is the fraction of the limit in the settings that a host may use.
	maxMemoryFraction = 0.5
)

// watchMemory samples the peak memory of all hosts until the context ends and reports each
// host that used more than maxMemoryFraction of its limit.
func (s *testFleet) watchMemory(ctx context.Context) {
	const limit = maxMemoryFraction * platformtest.MemoryLimitBytes
	reported := map[*host]bool{}
	for ctx.Err() == nil {
		for _, h := range s.hosts {
			peak := peakMemory(h.pid.Load())
			if s.peakMemory = max(s.peakMemory, peak); float64(peak) > limit && !reported[h] {
				reported[h] = true
				s.checker.Fail(fmt.Sprintf("%s used %d MB of memory", h.Name, peak>>20))
			}
		}
		sleep(ctx, memoryInterval)
	}
}

// peakMemory returns the largest resident memory of a process so far, in bytes, or 0 if the
// process does not run.
func peakMemory(pid int64) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			if err == nil {
				return kb << 10
			}
		}
	}
	return 0
}

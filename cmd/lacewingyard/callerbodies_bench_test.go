package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

// ticksPerSecond is the unit of the processor time in /proc/PID/stat.
const ticksPerSecond = 100

// BenchmarkEdgeRequest measures requests with and without a body to a host process, and the
// processor time that the host spends on each.
func BenchmarkEdgeRequest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 48 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			p := startEdge(b, nil)
			p.target.SetServiceTime(0)
			client := &http.Client{Transport: &http.Transport{}}
			body := bytes.Repeat([]byte("x"), size)
			before, calls := processorTicks(b, p.cmd.Process.Pid), 0
			for b.Loop() {
				calls++
				id := "bench-" + strconv.Itoa(calls)
				r := platformtest.Call(b.Context(), client, p.Address(p.Ports.Callers), http.MethodPost, platformtest.AtMostOncePrefix+id, id, body, 4*time.Second)
				if r.Err != nil || r.Status != http.StatusOK {
					b.Fatalf("status %d: %v", r.Status, r.Err)
				}
			}
			ticks := processorTicks(b, p.cmd.Process.Pid) - before
			b.ReportMetric(float64(ticks)*1e6/ticksPerSecond/float64(calls), "host-µs/op")
		})
	}
}

// processorTicks returns the processor time of a process.
func processorTicks(b *testing.B, pid int) int {
	g := NewWithT(b)
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	g.Expect(err).NotTo(HaveOccurred())
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	g.Expect(err).NotTo(HaveOccurred())
	system, err := strconv.Atoi(fields[12])
	g.Expect(err).NotTo(HaveOccurred())
	return user + system
}

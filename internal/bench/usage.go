package bench

import (
	"runtime"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/timerlag"
)

// saturatedCPU is the fraction of the machine's cores in use above which a run is
// invalid, because the latencies then include waits for a core.
const saturatedCPU = 0.8

// Usage is the processor time of a run. Callers, hosts and stand-ins share one process
// and are counted together.
type Usage struct {
	CPUPerSecond float64 `json:"cpu_s_per_s"`      // processor seconds per second
	TimerLagP99  float64 `json:"timer_lag_p99_ms"` // p99 delay of a 5 ms timer
	Cores        int     `json:"cores"`
	Saturated    bool    `json:"saturated"` // the machine was saturated: the latencies are invalid
}

// startUsageMeter measures the usage until stop is called.
func startUsageMeter() (stop func() Usage) {
	start, cpu := time.Now(), processorTime()
	lag := timerlag.Start()
	return func() Usage {
		lag.Stop()
		u := Usage{
			CPUPerSecond: (processorTime() - cpu).Seconds() / time.Since(start).Seconds(),
			TimerLagP99:  float64(lag.P99().Microseconds()) / 1000,
			Cores:        runtime.NumCPU(),
		}
		u.Saturated = u.CPUPerSecond > saturatedCPU*float64(u.Cores) || lag.P99() > timerlag.Limit
		return u
	}
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

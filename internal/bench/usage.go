package bench

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// saturatedCPU is the fraction of the machine's cores above which a run is
	// invalid: the process then waits for cores, and the latencies show that.
	saturatedCPU = 0.8
	// saturatedLag is the p99 of the lateness of a timer above which a run is
	// invalid, whoever uses the cores. It is 5 % of a 200 ms answer.
	saturatedLag = 10 * time.Millisecond
	lagInterval  = 5 * time.Millisecond
)

// Usage is the processor time of the whole run: callers, hosts and stand-ins
// are one process.
type Usage struct {
	CPUPerSecond float64 `json:"cpu_s_per_s"`      // processor seconds per second
	TimerLagP99  float64 `json:"timer_lag_p99_ms"` // lateness of a 5 ms timer
	Cores        int     `json:"cores"`
	Saturated    bool    `json:"saturated"` // the rows are invalid
}

// usageMeter measures until its stop function is called.
func usageMeter() (stop func() Usage) {
	start, cpu := time.Now(), processorTime()
	ctx, cancel := context.WithCancel(context.Background())
	late := newHistogram()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			due := time.Now().Add(lagInterval)
			time.Sleep(lagInterval)
			_ = late.RecordValue(time.Since(due).Microseconds())
		}
	}()
	return func() Usage {
		cancel()
		<-ended
		u := Usage{
			CPUPerSecond: (processorTime() - cpu).Seconds() / time.Since(start).Seconds(),
			TimerLagP99:  float64(late.ValueAtQuantile(99)) / 1000,
			Cores:        runtime.NumCPU(),
		}
		u.Saturated = u.CPUPerSecond > saturatedCPU*float64(u.Cores) || u.TimerLagP99 > float64(saturatedLag.Milliseconds())
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

package engine

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/roster"
)

// BenchmarkAdmissionBelowLimit measures what admission adds to a fan-out of 36 shards on a host
// without a limit in force.
func BenchmarkAdmissionBelowLimit(b *testing.B) {
	now := time.Now()
	e := New(Config{RetryWindow: time.Second, Fleet: fleetOf{roster.New("a", "p", now)}, Log: hclog.NewNullLogger(), Observer: silentObserver{}})
	route := &catalog.Route{Name: "r", Shards: make([]string, 36), Objective: time.Minute}
	view := &catalog.View{Config: &catalog.Config{}}
	b.ReportAllocs()
	b.StopTimer()
	for range b.N {
		x := e.plan(&Request{Received: now, Timeout: time.Minute}, route, view)
		b.StartTimer()
		x.admit(context.Background(), nil)
		for range x.shards {
			e.mu.Lock()
			now := time.Now()
			e.admission.Part(now, &x.ticket)
			e.admissionChanged(now)
			e.mu.Unlock()
		}
		x.admissionDone(time.Now(), true)
		b.StopTimer()
		x.cancel()
	}
}

package daemon

import (
	"context"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TestNoExporterAllocatesNothing guards against allocations for the spans of a
// sub-request when no exporter is configured.
func TestNoExporterAllocatesNothing(t *testing.T) {
	o := observer{tracer: &telemetry.Tracer{}}
	ctx, self, req, result := context.Background(), &settings.Process{}, &wire.SearchRequest{}, &wire.PartResult{}
	allocs := testing.AllocsPerRun(1000, func() {
		_, message, parent := o.startMessage(ctx, "", "search message", ordinalID{})
		_, branch, parent := o.startBranch(ctx, parent, "branch search", "s", self)
		_, part, _ := o.tracer.Start(ctx, parent, "target search")
		o.endPart(part, req, wire.PartRequest{}, result, "")
		branch.End()
		endMessage(message, req, nil)
	})
	if allocs != 0 {
		t.Fatalf("the spans of a sub-request without an exporter allocate %v times, want 0", allocs)
	}
}

// BenchmarkHopUntraced measures the span calls of one sub-request without an
// exporter.
func BenchmarkHopUntraced(b *testing.B) {
	o := observer{tracer: &telemetry.Tracer{}}
	ctx, self, req, result := context.Background(), &settings.Process{}, &wire.SearchRequest{}, &wire.PartResult{}
	for b.Loop() {
		_, message, parent := o.startMessage(ctx, "", "search message", ordinalID{})
		_, branch, parent := o.startBranch(ctx, parent, "branch search", "s", self)
		_, part, _ := o.tracer.Start(ctx, parent, "target search")
		o.endPart(part, req, wire.PartRequest{}, result, "")
		branch.End()
		endMessage(message, req, nil)
	}
}

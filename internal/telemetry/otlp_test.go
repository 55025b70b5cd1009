package telemetry_test

import (
	"compress/gzip"
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// collectorStub records what an OTLP collector receives.
type collectorStub struct {
	mu    sync.Mutex
	paths []string
	spans collector.ExportTraceServiceRequest
}

// ServeHTTP records an export over OTLP/HTTP in the protobuf encoding.
func (c *collectorStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		body, _ = gzip.NewReader(r.Body)
	}
	data, err := io.ReadAll(body)
	var message collector.ExportTraceServiceRequest
	if err != nil || r.Header.Get("Content-Type") != "application/x-protobuf" || proto.Unmarshal(data, &message) != nil {
		http.Error(w, "not an export", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths = append(c.paths, r.URL.Path)
	proto.Merge(&c.spans, &message)
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// Guards against spans that are not exported at shutdown, against spans without the host
// and the parent that connect the hops of a query, and against the export of a trace that
// is not sampled.
func TestOTLP(t *testing.T) {
	g := NewWithT(t)
	stub := &collectorStub{}
	server := httptest.NewServer(stub)
	defer server.Close()
	tracer, err := telemetry.NewTracer(context.Background(), settings.Traces{Endpoint: server.URL + "/v1/traces"}, "host-a", "north")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, entry, _ := tracer.Start(context.Background(), "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "entry search")
	_, branch, parent := tracer.Start(ctx, "", "branch search")
	_, unsampled, _ := tracer.Start(context.Background(), "", "starts here")
	unsampled.End()
	branch.End()
	entry.End()
	g.Expect(tracer.Close()).To(Succeed())

	g.Expect(stub.paths).To(HaveEach("/v1/traces"))
	parents := map[string]string{} // hexadecimal parent span identifier by span name
	for _, resource := range stub.spans.ResourceSpans {
		attributes := map[string]string{}
		for _, a := range resource.Resource.Attributes {
			attributes[a.Key] = a.Value.GetStringValue()
		}
		g.Expect(attributes).To(And(HaveKeyWithValue("service.name", "lacewingyard"), HaveKeyWithValue("host.name", "host-a"), HaveKeyWithValue("lacewingyard.place", "north")))
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				g.Expect(span.TraceId).To(HaveLen(16))
				parents[span.Name] = hex.EncodeToString(span.ParentSpanId)
				if span.Name == "branch search" {
					g.Expect(parent).To(ContainSubstring(hex.EncodeToString(span.SpanId)), "the next hop receives the identifier of this span")
				}
			}
		}
	}
	g.Expect(parents).To(HaveLen(2))
	g.Expect(parents["entry search"]).To(Equal("00f067aa0ba902b7"))
}

// Guards against a collector that accepts connections without answering and so delays the
// shutdown of a host.
func TestOTLPSilentCollector(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	tracer, err := telemetry.NewTracer(context.Background(), settings.Traces{Endpoint: server.URL + "/v1/traces", SampleRatio: 1}, "host-a", "north")
	g.Expect(err).NotTo(HaveOccurred())
	_, span, _ := tracer.Start(context.Background(), "", "entry search")
	span.End()
	start := time.Now()
	g.Expect(tracer.Close()).NotTo(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second), "twice flushTimeout")
}

package daemon_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// tracedSpan is a span as the trace file holds it.
type tracedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Resource []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s *tracedSpan) attr(key string) any {
	for _, a := range s.Attributes {
		if a.Key == key {
			return a.Value.Value
		}
	}
	return nil
}

func (s *tracedSpan) host() any {
	for _, a := range s.Resource {
		if a.Key == "host.name" {
			return a.Value.Value
		}
	}
	return nil
}

// readTrace returns the spans of one trace by their identifier.
func readTrace(file, trace string) map[string]*tracedSpan {
	data, err := os.Open(file)
	Expect(err).NotTo(HaveOccurred())
	defer data.Close()
	spans := map[string]*tracedSpan{}
	for dec := json.NewDecoder(data); dec.More(); {
		s := new(tracedSpan)
		Expect(dec.Decode(s)).To(Succeed())
		if s.SpanContext.TraceID == trace {
			spans[s.SpanContext.SpanID] = s
		}
	}
	return spans
}

var _ = Describe("Traces", func() {
	// Guards against a hop without a span, against a trace context that is lost
	// between hosts, and against spans that do not show which target was slow.
	It("follow a query over two hosts and show the straggler", func(ctx context.Context) {
		const slow = "tagdesk-g03-r1"
		file := filepath.Join(GinkgoT().TempDir(), "trace.json")
		d, err := fleet.Load(newEngland)
		Expect(err).NotTo(HaveOccurred())
		s := d.Document.Services["tagdesk"]
		// Only the slow replica of its group is left, so that the query meets it.
		d.Document.TargetsOut = []string{"tagdesk-g03-r0", "tagdesk-g03-r2"}
		d.Document.Services = map[string]settings.Service{"tagdesk": s}
		d.Traces = settings.Traces{File: file, SampleRatio: 0}
		f, err := fleet.Start(ctx, d, hclog.NewNullLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close) // a second close must not block
		drive(ctx, f, "tagdesk", 40, 10*time.Millisecond)
		f.Searchers[slow].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 20})

		const trace, caller = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
		_, err = searchWith(ctx, f, 0, "tagdesk", api.SearchRequest{Terms: []string{"red"}, Limit: 5}, map[string]string{"Traceparent": "00-" + trace + "-" + caller + "-01"})
		Expect(err).NotTo(HaveOccurred())
		f.Close()

		spans := readTrace(file, trace)
		parents := map[string]string{"search message": "entry search", "branch search": "search message", "target search": "branch search"}
		names, hosts, targets := map[string]int{}, map[any]bool{}, 0
		var slowest *tracedSpan
		for _, s := range spans {
			names[s.Name]++
			hosts[s.host()] = true
			if s.Name == "entry search" {
				Expect(s.Parent.SpanID).To(Equal(caller))
				continue
			}
			Expect(spans).To(HaveKey(s.Parent.SpanID), s.Name)
			Expect(spans[s.Parent.SpanID].Name).To(Equal(parents[s.Name]))
			if s.Name != "target search" {
				continue
			}
			targets++
			for _, key := range []string{"target", "group", "place", "cause", "index.version", "queue_us", "service_us", "outcome"} {
				Expect(s.attr(key)).NotTo(BeNil(), key)
			}
			if slowest == nil || s.EndTime.Sub(s.StartTime) > slowest.EndTime.Sub(slowest.StartTime) {
				slowest = s
			}
		}
		Expect(names["entry search"]).To(Equal(1))
		Expect(len(hosts)).To(BeNumerically(">=", 2))
		Expect(targets).To(BeNumerically(">=", 10), "one sub-request for each group")
		Expect(slowest.attr("target")).To(Equal(slow))
		Expect(strings.HasPrefix(slowest.attr("group").(string), "tagdesk-g03")).To(BeTrue())
	}, NodeTimeout(time.Minute))
})

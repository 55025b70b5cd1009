package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// The trace context that a caller sends to request a trace.
const (
	traceID, callerSpanID = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	traceHeader           = "00-" + traceID + "-" + callerSpanID + "-01"
)

// tracedFleet is a deployment whose hosts write spans to a file. Hosts start no
// traces of their own.
type tracedFleet struct {
	*fleet.Fleet
	file string
}

// startTraced starts the New England example with only the given services.
func startTraced(ctx context.Context, change func(*settings.Document), services ...string) *tracedFleet {
	d, err := fleet.Load(newEngland)
	Expect(err).NotTo(HaveOccurred())
	kept := map[string]settings.Service{}
	for _, name := range services {
		kept[name] = d.Document.Services[name]
	}
	d.Document.Services = kept
	if change != nil {
		change(&d.Document)
	}
	t := &tracedFleet{file: filepath.Join(GinkgoT().TempDir(), "trace.json")}
	d.Traces = settings.Traces{File: t.file}
	t.Fleet, err = fleet.Start(ctx, d, hclog.NewNullLogger())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close) // runs after readSpans has closed the deployment; a second Close must not block
	return t
}

// readSpans stops the hosts and returns the spans of the trace by identifier. It
// checks that the caller's span is the parent of each span whose name is first, and
// that every other span has a parent in the trace with the name that parents gives.
func (t *tracedFleet) readSpans(first string, parents map[string]string) map[string]*telemetry.Span {
	t.Close()
	file, err := os.Open(t.file)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	all, err := telemetry.ReadSpans(file, traceID)
	Expect(err).NotTo(HaveOccurred())
	spans := map[string]*telemetry.Span{}
	for _, s := range all {
		spans[s.ID] = s
	}
	for _, s := range spans {
		if s.Name == first {
			Expect(s.Parent).To(Equal(callerSpanID))
			continue
		}
		Expect(spans).To(HaveKey(s.Parent), s.Name)
		Expect(spans[s.Parent].Name).To(Equal(parents[s.Name]), s.Name)
	}
	return spans
}

var searchParents = map[string]string{"search message": "entry search", "branch search": "search message", "target search": "branch search"}

// spansNamed returns the spans with a name.
func spansNamed(spans map[string]*telemetry.Span, name string) (found []*telemetry.Span) {
	for _, s := range spans {
		if s.Name == name {
			found = append(found, s)
		}
	}
	return found
}

var _ = Describe("Traces", func() {
	// Guards against a hop without a span, against a trace context lost between hosts,
	// and against spans that do not show the slow target and the crashed targets.
	It("follow a query over two hosts and show the straggler and the targets that it crashed", func(ctx context.Context) {
		const slow, killed = "tagdesk-g03-r1", "tagdesk-g05"
		// The slow replica is the only one of its group, so that the query uses it.
		f := startTraced(ctx, func(d *settings.Document) { d.TargetsOut = []string{"tagdesk-g03-r0", "tagdesk-g03-r2"} }, "tagdesk")
		drive(ctx, f.Fleet, "tagdesk", 40, 10*time.Millisecond)
		f.Searchers[slow].SetFaults(standin.Faults{SlowRatio: 1, SlowFactor: 20})
		for id, s := range f.Searchers {
			if strings.HasPrefix(id, killed) {
				s.SetFaults(standin.Faults{KillTerm: killTerm})
			}
		}
		_, err := searchWith(ctx, f.Fleet, 0, "tagdesk", api.SearchRequest{Terms: []string{killTerm}, Limit: 5, MinCoverage: 1}, map[string]string{"Traceparent": traceHeader})
		Expect(err).NotTo(HaveOccurred())
		spans := f.readSpans("entry search", searchParents)

		hosts, fingerprints, died, groupsRun := map[string]bool{}, map[any]bool{}, map[any]bool{}, map[any]bool{}
		var slowest *telemetry.Span
		for _, s := range spans {
			hosts[s.Host] = true
		}
		for _, s := range spansNamed(spans, "target search") {
			for _, key := range []string{"target", "group", "place", "cause", "index.version", "queue_us", "service_us", "outcome"} {
				Expect(s.Attributes).To(HaveKey(key))
			}
			groupsRun[s.Attributes["group"]] = true
			fingerprints[s.Attributes["query.fingerprint"]] = true
			if s.Attributes["target.died"] == true {
				died[s.Attributes["target"]] = true
			}
			if slowest == nil || s.Duration() > slowest.Duration() {
				slowest = s
			}
		}
		crashed := map[any]bool{}
		for id, s := range f.Searchers {
			if s.Counts().KillerQueryCrashes.Load() > 0 {
				crashed[id] = true
			}
		}
		Expect(spansNamed(spans, "entry search")).To(HaveLen(1))
		Expect(len(hosts)).To(BeNumerically(">=", 2))
		Expect(len(groupsRun)).To(BeNumerically(">=", 10), "one sub-request for each group")
		Expect(slowest.Attributes["target"]).To(Equal(slow))
		Expect(slowest.Attributes["group"]).To(HavePrefix("tagdesk-g03"))
		Expect(crashed).NotTo(BeEmpty())
		Expect(died).To(Equal(crashed))
		Expect(fingerprints).To(HaveLen(1))
	}, NodeTimeout(time.Minute))

	// Guards against a target that gets no trace context, or that of a span other than
	// its own sub-request's.
	It("reach the targets in the header of each sub-request", func(ctx context.Context) {
		f := startTraced(ctx, nil, "tagdesk")
		var mu sync.Mutex
		received := map[string]string{} // target by traceparent
		for id, s := range f.Searchers {
			s.OnRequest(func(h http.Header) {
				mu.Lock()
				defer mu.Unlock()
				received[h.Get("Traceparent")] = id
			})
		}
		_, err := searchWith(ctx, f.Fleet, 0, "tagdesk", api.SearchRequest{Terms: []string{"red"}, MinCoverage: 1}, map[string]string{"Traceparent": traceHeader})
		Expect(err).NotTo(HaveOccurred())
		sent := map[string]string{}
		for _, s := range spansNamed(f.readSpans("entry search", searchParents), "target search") {
			if s.Attributes["service_us"] != 0.0 { // 0 if the sub-request was not sent to the target
				sent["00-"+traceID+"-"+s.ID+"-01"] = s.Attributes["target"].(string)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		delete(received, "") // probes of new connections are not sub-requests
		Expect(len(sent)).To(BeNumerically(">=", 10))
		Expect(received).To(Equal(sent))
	}, NodeTimeout(time.Minute))

	// Guards against a command or a lookup whose trace ends early: at the entry host, at
	// the home that the ticket names, or at the branch host.
	DescribeTable("follow a lookup or a command from the entry host to the target",
		func(ctx context.Context, service, record string, chain ...string) {
			f := startTraced(ctx, func(d *settings.Document) {
				s := d.Services[service]
				if len(chain) == 4 { // a lookup; the chain of a command has the two spans to its home as well
					s.Kind = settings.KindLookup // the example has no lookup service
				}
				d.Services[service] = s
			}, service)
			header := map[string]string{"Traceparent": traceHeader, "Deadline-Ms": "3000"}
			if len(chain) > 4 { // a command
				// The home is not the host that gets the request, so that the command is forwarded.
				var ticket api.TicketResponse
				Expect(postJSON(ctx, f.Hosts[1].Entry.Callers, "/v1/tickets", nil, nil, &ticket)).To(Succeed())
				header["Request-Id"] = ticket.TicketPrefix + "1"
			}
			var answer api.LookupResponse
			path := "/v1/services/" + service + "/lookup"
			Expect(postJSON(ctx, f.Hosts[0].Entry.Callers, path, header, api.LookupRequest{ID: record}, &answer)).To(Succeed())
			parents := map[string]string{}
			for i, name := range chain[1:] {
				parents[name] = chain[i]
			}
			spans := f.readSpans(chain[0], parents)
			for _, name := range chain {
				Expect(spansNamed(spans, name)).NotTo(BeEmpty(), name)
			}
			for _, s := range spansNamed(spans, "target lookup") {
				Expect(s.Attributes).To(And(HaveKey("target"), HaveKey("queue_us"), HaveKey("service_us"), HaveKeyWithValue("outcome", "answered")))
			}
			if len(chain) > 4 { // a command
				Expect(spansNamed(spans, "entry lookup")[0].Host).To(Equal(f.Hosts[0].Entry.Name))
				Expect(spansNamed(spans, "home command")[0].Host).To(Equal(f.Hosts[1].Entry.Name))
			}
		},
		Entry("command", "renewals", "renewal-000007", "entry lookup", "command message", "home command", "lookup message", "branch lookup", "target lookup", NodeTimeout(time.Minute)),
		Entry("lookup", "bulletin", "notice-000007", "entry lookup", "lookup message", "branch lookup", "target lookup", NodeTimeout(time.Minute)),
	)
})

// postJSON posts a body and decodes the answer.
func postJSON(ctx context.Context, host, path string, header map[string]string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return api.ReadAnswer(resp, answer)
}

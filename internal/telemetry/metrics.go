// Package telemetry provides the metrics and traces of a daemon.
//
// Events per request are counted and traced, not logged; log lines are for changes of
// state. Label values come from closed sets or from the configuration, so that the number
// of series is bounded.
//
// The package owns the metrics registry, the trace exporter and the trace file format. It
// does not decide the outcome of a request or which values call for an alert. Metrics,
// Recent and Tracer are safe for concurrent use.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "lacewingyard"

// Metrics are the metrics of one daemon. Each daemon has its own registry, so that several
// daemons can run in one process.
type Metrics struct {
	registry *prometheus.Registry

	Requests    *prometheus.CounterVec   // by service, outcome, reason
	Duration    *prometheus.HistogramVec // by service, priority
	Coverage    *prometheus.HistogramVec // by service
	SubRequests *prometheus.CounterVec   // by service, cause: first, hedge, retry, canary, gap
	Hedges      *prometheus.CounterVec   // by service, result: won, lost

	SubRequestResults *prometheus.CounterVec // on the branch host, by service, outcome, reason
	BorrowedSlots     *prometheus.CounterVec // on the branch host, by service, result: granted, refused, not_delivered, lost

	Recent Recent // answers and failures of the last minute
}

// latencyBuckets are upper bounds in seconds, closer together around common deadlines.
var latencyBuckets = []float64{.001, .002, .005, .01, .015, .02, .03, .04, .06, .08, .1, .15, .2, .25, .32, .5, .75, 1, 2, 5}

// coverageBuckets are upper bounds, closer together near 1, where the required coverage lies.
var coverageBuckets = []float64{.5, .8, .9, .95, .99, .995, .999, 1}

// NewMetrics returns metrics in a new registry, with those of the Go runtime and the
// process.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: newCounterVec("requests_total", "Requests of callers by outcome and reason.", "service", "outcome", "reason"),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Seconds from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"service", "priority"}),
		Coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_coverage_ratio", Help: "Coverage of search answers, 0 to 1.", Buckets: coverageBuckets,
		}, []string{"service"}),
		SubRequests: newCounterVec("subrequests_total", "Requests to targets planned by this entry host, by cause.", "service", "cause"),
		Hedges:      newCounterVec("hedges_total", "Hedged sub-requests by result, won or lost.", "service", "result"),

		SubRequestResults: newCounterVec("subrequest_results_total", "Requests to targets that ended on this branch host, by outcome and reason.", "service", "outcome", "reason"),
		BorrowedSlots:     newCounterVec("borrowed_slots_total", "Slots that this branch host asked the other owner of a target for, by result.", "service", "result"),
	}
	m.registry.MustRegister(m.Requests, m.Duration, m.Coverage, m.SubRequests, m.Hedges, m.SubRequestResults, m.BorrowedSlots,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Counter registers a counter whose value is read at each scrape. The value must not
// decrease.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Handler serves the metrics in the Prometheus formats.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

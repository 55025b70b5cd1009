// Package telemetry holds the metrics and traces of a daemon.
//
// Counters come first: what happens per request is counted, and log lines are
// left to changes of state. Label values come from closed sets or from the
// configuration, so that the number of series is bounded.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "lacewingyard"

// Metrics are the metrics of one daemon. Each daemon has a registry of its
// own, so that several can run in one process.
type Metrics struct {
	registry *prometheus.Registry

	Requests    *prometheus.CounterVec   // by service, outcome, reason
	Duration    *prometheus.HistogramVec // by service, priority
	Coverage    *prometheus.HistogramVec // by service
	SubRequests *prometheus.CounterVec   // by service, cause: first, hedge, retry, canary, gap
	Hedges      *prometheus.CounterVec   // by service, result: won, lost

	SubRequestResults *prometheus.CounterVec // on the branch host, by service, outcome, reason
	BorrowedSlots     *prometheus.CounterVec // on the branch host, by service, result: granted, refused

	Recent Recent // answers of the last minute
}

// latencyBuckets run from 1 ms to 5 s, finer around the deadlines in use.
var latencyBuckets = []float64{.001, .002, .005, .01, .015, .02, .03, .04, .06, .08, .1, .15, .2, .25, .32, .5, .75, 1, 2, 5}

// coverageBuckets are fine near 1, where the promises are.
var coverageBuckets = []float64{.5, .8, .9, .95, .99, .995, .999, 1}

// NewMetrics returns registered metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: counters("requests_total", "Requests of callers by outcome and reason.", "service", "outcome", "reason"),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Seconds from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"service", "priority"}),
		Coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_coverage_ratio", Help: "Coverage of search answers, 0 to 1.", Buckets: coverageBuckets,
		}, []string{"service"}),
		SubRequests: counters("subrequests_total", "Requests to targets planned by this entry host, by cause.", "service", "cause"),
		Hedges:      counters("hedges_total", "Hedged sub-requests by result, won or lost.", "service", "result"),

		SubRequestResults: counters("subrequest_results_total", "Requests to targets that ended on this branch host, by outcome and reason.", "service", "outcome", "reason"),
		BorrowedSlots:     counters("borrowed_slots_total", "Slots that this branch host asked the other owner of a target for, granted or refused.", "service", "result"),
	}
	m.registry.MustRegister(m.Requests, m.Duration, m.Coverage, m.SubRequests, m.Hedges, m.SubRequestResults, m.BorrowedSlots,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge registers a gauge whose value is read when metrics are collected.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Counter registers a counter that is kept elsewhere.
func (m *Metrics) Counter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/notice"
	"github.com/lacewingyard/lacewingyard/pkg/published"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics exports Prometheus metrics of sends to targets, of requests of callers, of the
// process and of the host. It implements engine.Observer and is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	sends    *prometheus.CounterVec
	sendTime *prometheus.HistogramVec
	requests *prometheus.CounterVec
	answers  *prometheus.CounterVec
	duration *prometheus.HistogramVec
	notices  *prometheus.CounterVec
	unstated *prometheus.CounterVec
	tenants  *tenantMetrics
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.005, .01, .02, .04, .06, .08, .1, .15, .2, .3, .5, 1, 2, 4}

// NewMetrics returns Metrics with a registry of its own, which has those of the Go runtime and
// the process, and no metrics of a host before RegisterHost is called.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingyard_sends_total", Help: "Sends to targets by result; extra ones are repeats."}, []string{"result", "extra"}),
		sendTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingyard_send_duration_seconds", Help: "Time from a send to the end of its answer.", Buckets: latencyBuckets}, []string{"result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingyard_requests_total", Help: "Requests of callers by outcome and reason."}, []string{"outcome", "reason"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingyard_answers_total", Help: "Answers to requests of callers by status and by whose answer it is."}, []string{"status", "from"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lacewingyard_request_duration_seconds", Help: "Time from the head of a request to its answer.", Buckets: latencyBuckets}, []string{"outcome"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingyard_target_notices_total", Help: "Starts and changes of notices that targets give about themselves, by kind."}, []string{"kind", "service"}),
		unstated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lacewingyard_failures_unstated_total", Help: "Failures of targets with a status that means \"not run\" to callers, without the statement that the request did not run."}, []string{"service", "status"}),
	}
	m.registry.MustRegister(m.notices, m.unstated, m.sends, m.sendTime, m.requests, m.answers, m.duration,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.tenants = newTenantMetrics(m.registry)
	return m
}

// RegisterHost adds metrics of a host: its connections to targets, store calls,
// undecodable heartbeats, tokens of tenants, fleet size, open requests, and the age and configuration
// version of its published state. It panics if called twice.
func (m *Metrics) RegisterHost(h *Host) {
	counter := func(name, help string, value func() int64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	c := h.engine.Connections()
	counter("lacewingyard_connections_opened_total", "Connections opened to targets.", c.Opened.Load)
	counter("lacewingyard_connections_ahead_total", "Connections opened to targets ahead of requests.", c.Ahead.Load)
	counter("lacewingyard_connections_failed_total", "Connections to targets that could not be opened.", c.DialFailed.Load)
	counter("lacewingyard_connections_broken_total", "Connections to targets closed after a request that ended badly.", c.Broken.Load)
	counter("lacewingyard_answers_oversized_total", "Answers of targets cut off because they were longer than any valid one.", c.Oversized.Load)
	counter("lacewingyard_answers_no_memory_total", "Large answers of targets given up because memory for them was short.", c.NoMemory.Load)
	counter("lacewingyard_answers_malformed_total", "Bytes of targets that are no answers.", c.Malformed.Load)
	crashes := h.engine.CrashCounts()
	counter("lacewingyard_sends_closed_total", "Sends whose connection the target closed before its answer.", crashes.BrokenSends.Load)
	counter("lacewingyard_request_crashes_total", "Crashes of targets counted against the request that they ran.", crashes.Crashes.Load)
	counter("lacewingyard_request_crashes_reported_total", "Such crashes that other hosts reported first.", crashes.FromPeers.Load)
	counter("lacewingyard_requests_quarantined_total", "Requests refused because they crash the targets that run them.", crashes.Refused.Load)
	counter("lacewingyard_panics_total", "Requests, sends, heartbeats and reads given up because of an unexpected error.", guard.Panics)
	counter("lacewingyard_store_calls_total", "Calls to the platform's store.", func() int64 { return int64(h.follower.callCount()) })
	state := &h.follower.counters
	labeled := func(name, help, label, value string, of func() int64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}}, func() float64 { return float64(of()) }))
	}
	for _, reason := range failureReasons {
		labeled("lacewingyard_store_calls_failed_total", "Calls to the platform's store without an answer that could be used, by reason.", "reason", string(reason), state.failed(reason).Load)
	}
	const confirmations = "Later confirmations of the state in use, by whether the store gave them to this host or to a peer that passed them on."
	labeled("lacewingyard_state_confirmations_total", confirmations, "by", published.FromStore, state.byStore.Load)
	labeled("lacewingyard_state_confirmations_total", confirmations, "by", "peer", state.byPeers.Load)
	for _, reason := range published.Discards {
		labeled("lacewingyard_store_answers_discarded_total", "Answers of the store that do not confirm the state in use, by reason.", "reason", string(reason), state.discarded(reason).Load)
	}
	counter("lacewingyard_store_rollbacks_total", "Times that this host took over a state of a store that came back from an older copy.", state.rollbacks.Load)
	gauge("lacewingyard_state_confirmed", "1 if the store confirmed the state in use within the bound on changes, else 0.", func() float64 {
		if h.follower.isConfirmed() {
			return 1
		}
		return 0
	})
	gauge("lacewingyard_store_config_version", "Version of the configuration that the store was last known to have; lower than the one in force if the store lost that one, 0 if it is not known.", func() float64 { return float64(h.follower.ground().StoreConfig) })
	gauge("lacewingyard_state_era", "Era of the state in use, as the store states it; it rises each time that the store comes back from an older copy.", func() float64 { return float64(h.follower.ground().Era) })
	gauge("lacewingyard_state_revision", "Revision of the state in use; 0 if none.", func() float64 { return float64(h.follower.ground().Revision) })
	counter("lacewingyard_heartbeats_unreadable_total", "Heartbeats that could not be read.", func() int64 { return int64(h.gossip.DecodeErrors()) })
	gauge("lacewingyard_state_age_seconds", "Time since the store confirmed the state in use.", func() float64 {
		return time.Since(h.follower.ground().ConfirmedAt).Seconds()
	})
	gauge("lacewingyard_config_version", "Version of the configuration in force; 0 if none.", func() float64 {
		if v := h.engine.View(); v != nil && v.Config != nil {
			return float64(v.Config.Version)
		}
		return 0
	})
	gauge("lacewingyard_hosts", "Hosts that may be running, this one included.", func() float64 { return float64(h.fleetHosts.Load()) })
	for _, kind := range notice.Kinds {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lacewingyard_targets_under_notice", Help: "Targets whose notices are in force, by kind.", ConstLabels: prometheus.Labels{"kind": string(kind)},
		}, func() float64 { return float64(h.engine.UnderNotice()[kind]) }))
	}
	m.registerQuota(h.quotas)
	callers := h.callers
	gauge("lacewingyard_caller_bytes", "Bytes that callers hold with long heads and bodies.", func() float64 { return float64(callers.budget.Use().Used) })
	gauge("lacewingyard_caller_bytes_limit", "Greatest number of these bytes.", func() float64 { return float64(callers.parts.Bytes) })
	counter("lacewingyard_caller_requests_given_up_total", "Requests given up for others while they were read.", func() int64 { return callers.budget.Use().GivenUp })
	counter("lacewingyard_caller_requests_no_room_total", "Requests that found no room for their bodies or heads.", func() int64 { return callers.budget.Use().Refused })
	counter("lacewingyard_caller_requests_too_slow_total", "Requests given up because their bodies made no progress.", func() int64 { return callers.budget.Use().TooSlow })
	gauge("lacewingyard_caller_connections", "Open connections of callers.", func() float64 { return float64(callers.conns.Use().Open) })
	gauge("lacewingyard_caller_connections_limit", "Greatest number of open connections of callers; 0 for no bound.", func() float64 { return float64(callers.parts.Conns) })
	counter("lacewingyard_caller_connections_shed_total", "Connections of callers without a request closed for new ones.", func() int64 { return callers.conns.Use().Shed })
	counter("lacewingyard_caller_connections_refused_total", "Connections of callers closed on accept.", func() int64 { return callers.conns.Use().Refused })
	gauge("lacewingyard_requests_open", "Requests of callers in progress.", func() float64 { return float64(h.openRequests.Load()) })
}

// Sent implements engine.Observer. It counts a send by its result and by whether it was
// extra: a hedge, or a retry after a send that may have reached a target.
func (m *Metrics) Sent(service string, r *backend.Result, extra bool) {
	extraLabel := "false"
	if extra {
		extraLabel = "true"
	}
	m.sends.WithLabelValues(r.Kind.String(), extraLabel).Inc()
	m.sendTime.WithLabelValues(r.Kind.String()).Observe(r.Duration.Seconds())
	if r.Unstated() {
		m.unstated.WithLabelValues(service, strconv.Itoa(r.Status)).Inc()
	}
}

// Finished implements engine.Observer. It counts a request of a caller.
func (m *Metrics) Finished(_ string, a *engine.Answer, took time.Duration) {
	m.requests.WithLabelValues(a.Outcome.Kind.String(), string(a.Outcome.Reason)).Inc()
	if a.Tenant != "" {
		m.tenants.count(time.Now(), a.Tenant, a.Outcome.Reason)
	}
	m.duration.WithLabelValues(a.Outcome.Kind.String()).Observe(took.Seconds())
}

// Answered implements engine.Observer. It counts an answer to a caller. Statuses without a
// name count as one, because targets choose them.
func (m *Metrics) Answered(a *engine.Answer) {
	status := "other"
	if http.StatusText(a.Status) != "" {
		status = strconv.Itoa(a.Status)
	}
	m.answers.WithLabelValues(status, string(a.Source())).Inc()
}

// Noticed implements engine.Observer. It counts the starts and changes of notices.
func (m *Metrics) Noticed(service string, c notice.Change) {
	if c.Value > 0 {
		m.notices.WithLabelValues(string(c.Kind), service).Inc()
	}
}

// Handler returns the handler of the metrics endpoint.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

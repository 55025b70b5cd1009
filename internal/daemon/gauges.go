package daemon

import (
	"net/http"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

// registerGauges registers the metrics whose values are read from existing state at
// each scrape.
func (d *Daemon) registerGauges() {
	m := d.opts.Metrics
	m.Gauge("config_version", "Version of the configuration in force; 0 before the first.", func() float64 {
		if tree := d.config.tree(); tree != nil {
			return float64(tree.Doc.Version)
		}
		return 0
	})
	m.Gauge("config_age_seconds", "Time since the configuration in force came into force on this host; 0 before the first.", func() float64 {
		return d.config.timeInForce().Seconds()
	})
	m.Gauge("hosts_version", "Version of the host list in use; 0 before the first.", func() float64 {
		if hosts := d.directory.hosts(); hosts != nil {
			return float64(hosts.list.Version)
		}
		return 0
	})
	m.LabeledGauge("place_in_service", "1 for a place that is in service by the configuration in force, 0 for one that is out.", []string{"place"},
		func(emit telemetry.Emit) {
			tree := d.config.tree()
			if tree == nil {
				return
			}
			for name := range tree.Doc.Places {
				in := 0.0
				if tree.PlaceInService(name) {
					in = 1
				}
				emit(in, name)
			}
		})
	m.Counter("rate_limited_total", "Requests refused because their caller address exceeded its rate.", func() float64 { return float64(d.rateLimit.Refused()) })
	m.Gauge("open_requests", "Requests of callers in progress.", func() float64 { return float64(d.openRequests.count.Load()) })
	d.registerCallerGauges(m)
	d.control.registerGauges(m)
	d.registerEntryGauges(m)
	d.branch.registerGauges(m)
}

// timeInForce returns the time since the present configuration came into force; 0
// before the first.
func (c *config) timeInForce() time.Duration {
	since := c.inForceSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// registerGauges registers the metrics of the control plane.
func (c *control) registerGauges(m *telemetry.Metrics) {
	flag := func(name, help string, value func(ControlStatus) bool) {
		m.Gauge(name, help, func() float64 {
			if value(c.status()) {
				return 1
			}
			return 0
		})
	}
	flag("host_ready", "1 while the host may start work.", func(s ControlStatus) bool { return s.Ready })
	flag("host_unconfirmed", "1 while no peer or platform has fully confirmed the host's state.", func(s ControlStatus) bool { return s.Unconfirmed })
	m.Gauge("peers_heard", "Peers in contact that this host has heard from recently.", func() float64 { return float64(c.heardCount()) })
	m.Counter("pauses_total", "Pauses of the process that were noticed.", func() float64 { return float64(c.status().Pauses) })
	value := []string{"value"}
	m.LabeledCounter("platform_reads_total", "Calls to the platform, by published value.", value, func(emit telemetry.Emit) {
		for v, client := range c.clients {
			emit(float64(client.Reads()), publishedNames[v])
		}
	})
	m.LabeledCounter("platform_read_bytes_total", "Bytes received from the platform, by published value.", value, func(emit telemetry.Emit) {
		for v, client := range c.clients {
			emit(float64(client.BytesRead()), publishedNames[v])
		}
	})
	published := func(name, help string, count func(configsync.Counters) uint64) {
		m.LabeledCounter(name, help, value, func(emit telemetry.Emit) {
			for v := range wire.Published(wire.PublishedCount) {
				c.published(v).withState(func(s *configsync.State) { emit(float64(count(s.Counters())), publishedNames[v]) })
			}
		})
	}
	published("published_refused_total", "Published documents that did not pass their check.", func(n configsync.Counters) uint64 { return n.Refused })
	published("published_conflicts_total", "Other documents seen for the version in force.", func(n configsync.Counters) uint64 { return n.Conflicts })
}

// publishedNames holds the label values of the published values.
var publishedNames = [wire.PublishedCount]string{wire.PublishedConfig: "config", wire.PublishedHosts: "hosts"}

// heardCount returns the number of contacts from which a message arrived recently.
func (c *control) heardCount() (n int) {
	c.forEachHeard(func(string) { n++ })
	return n
}

// forEachHeard calls f with the name of every contact from which a message arrived
// recently.
func (c *control) forEachHeard(f func(name string)) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.view.Contacts() {
		if c.view.Heard(now, p.Name) {
			f(p.Name)
		}
	}
}

// registerEntryGauges registers the metrics of the entry role. New sets the role after
// it registers the metrics, so they have no values until the daemon is initialized.
func (d *Daemon) registerEntryGauges(m *telemetry.Metrics) {
	initialized := func(read func(e *entry, emit telemetry.Emit)) func(telemetry.Emit) {
		return func(emit telemetry.Emit) {
			select {
			case <-d.initialized:
				read(d.entry, emit)
			default:
			}
		}
	}
	service := []string{"service"}
	m.LabeledGauge("extra_load_budget_ratio", "Balance of the budget for hedges and retries; 1 is plenty.", service,
		initialized(func(e *entry, emit telemetry.Emit) {
			e.mu.Lock()
			defer e.mu.Unlock()
			for name, st := range e.services {
				emit(st.budget.Balance(), name)
			}
		}))
	m.LabeledGauge("admission_limit_queries", "Queries that this entry host admits at the same time.", service,
		initialized(func(e *entry, emit telemetry.Emit) {
			e.admission.forEach(func(name string, limit, _ int) { emit(float64(limit), name) })
		}))
	m.LabeledGauge("admission_open_queries", "Queries admitted and in progress.", service,
		initialized(func(e *entry, emit telemetry.Emit) {
			e.admission.forEach(func(name string, _, open int) { emit(float64(open), name) })
		}))
}

// forEach calls f with the limit and the number of queries in progress of every
// service.
func (a *admission) forEach(f func(service string, limit, open int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.services {
		f(name, s.Limit(), s.InFlight())
	}
}

// registerGauges registers the metrics of the branch role.
func (b *branch) registerGauges(m *telemetry.Metrics) {
	m.LabeledGauge("owned_targets", "Targets that this host owns and has used, by state.", []string{"state"}, func(emit telemetry.Emit) {
		counts := map[string]int{"warm": 0, "cold": 0, "draining": 0, "unproven": 0}
		for _, t := range b.dispatcher.status() {
			counts[t.State]++
		}
		for state, n := range counts {
			emit(float64(n), state)
		}
	})
	m.Gauge("target_slots_in_use", "Slots of this host's targets that are in use.", func() float64 {
		sum := 0
		for _, t := range b.dispatcher.status() {
			sum += t.InUse
		}
		return float64(sum)
	})
	m.LabeledGauge("quarantine_fingerprints", "Queries known to crash targets, by state.", []string{"state"}, func(emit telemetry.Emit) {
		suspect, refused := 0, 0
		for _, q := range b.guard.status() {
			if q.State == "refused" {
				refused++
			} else {
				suspect++
			}
		}
		emit(float64(suspect), "suspect")
		emit(float64(refused), "refused")
	})
}

// OperatorHandler returns the HTTP handler of the operators' listener.
func (d *Daemon) OperatorHandler() http.Handler { return d.operatorRoutes() }

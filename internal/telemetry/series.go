package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Emit adds one series with its value and label values to a scrape.
type Emit func(value float64, labels ...string)

// labeledCollector collects a metric whose values are read at each scrape.
type labeledCollector struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(Emit)
}

// Describe implements prometheus.Collector.
func (s *labeledCollector) Describe(ch chan<- *prometheus.Desc) { ch <- s.desc }

// Collect implements prometheus.Collector.
func (s *labeledCollector) Collect(ch chan<- prometheus.Metric) {
	s.read(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(s.desc, s.kind, value, labels...)
	})
}

// LabeledGauge registers a gauge with labels whose values are read at each scrape. Label
// values must come from a closed set or the configuration.
func (m *Metrics) LabeledGauge(name, help string, labels []string, read func(Emit)) {
	m.register(prometheus.GaugeValue, name, help, labels, read)
}

// LabeledCounter registers a counter with labels whose values are read at each scrape. The
// rules of Counter and LabeledGauge apply.
func (m *Metrics) LabeledCounter(name, help string, labels []string, read func(Emit)) {
	m.register(prometheus.CounterValue, name, help, labels, read)
}

func (m *Metrics) register(kind prometheus.ValueType, name, help string, labels []string, read func(Emit)) {
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	m.registry.MustRegister(&labeledCollector{desc: desc, kind: kind, read: read})
}

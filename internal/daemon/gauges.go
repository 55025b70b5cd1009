package daemon

// registerGauges registers the metrics that are read from state kept elsewhere.
func (d *Daemon) registerGauges() {
	m := d.opts.Metrics
	m.Gauge("config_version", "Version of the configuration in force; 0 before the first.", func() float64 {
		if tree := d.config.tree(); tree != nil {
			return float64(tree.Doc.Version)
		}
		return 0
	})
	m.Gauge("hosts_version", "Version of the host list in use; 0 before the first.", func() float64 {
		if hosts := d.directory.hosts(); hosts != nil {
			return float64(hosts.list.Version)
		}
		return 0
	})
	m.Gauge("open_requests", "Requests of callers in progress.", func() float64 { return float64(d.open.count.Load()) })
	d.control.registerGauges(m)
}

package daemon

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/callerconn"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Status is what a host reports on the operators' listener: its own state, and the
// state that it last received of the other hosts.
type Status struct {
	Host          string `json:"host"`
	Place         string `json:"place"`
	Ordinal       int    `json:"ordinal"`
	Phase         string `json:"phase"` // serving, leaving, closing, done
	Open          int64  `json:"open"`  // number of callers' requests in progress
	ConfigVersion uint64 `json:"config_version"`
	HostsVersion  uint64 `json:"hosts_version"`

	ConfigAgeSeconds float64            `json:"config_age_seconds"` // since the configuration came into force on this host; 0 before
	Places           []PlaceStatus      `json:"places"`
	Hosts            []HostStatus       `json:"hosts"`
	Services         []ServiceStatus    `json:"services"`
	Targets          []TargetStatus     `json:"targets"` // those that this host owns
	Quarantined      []QuarantineStatus `json:"quarantined"`
	// Tenants are those of the configuration with the most requests to this host, and
	// UnknownKeys the requests refused since its start for want of a known key.
	HasTenants  bool              `json:"has_tenants"`
	Tenants     []TenantStatus    `json:"tenants,omitempty"`
	UnknownKeys int64             `json:"unknown_keys,omitempty"`
	Control     ControlStatus     `json:"control"`
	Callers     callerconn.Status `json:"callers"`
}

// ControlStatus is the state of the control plane of a host.
type ControlStatus struct {
	Ready         bool                `json:"ready"`             // the host may start work
	Unconfirmed   bool                `json:"unconfirmed"`       // the host's state is not fully confirmed
	Superseded    bool                `json:"superseded"`        // a newer process has the host's ordinal
	Pauses        uint64              `json:"pauses"`            // detected pauses of the process
	OneWayPeers   []string            `json:"one_way,omitempty"` // contacts that send heartbeats but do not acknowledge any
	Watching      bool                `json:"watching"`          // the host watches the configuration service
	PlatformReads uint64              `json:"reads"`             // requests to the platform
	Config        configsync.Counters `json:"config"`
	Hosts         configsync.Counters `json:"hosts"`
	LastRefusal   string              `json:"last_refusal,omitempty"` // error of the configuration refused last
}

func (c *control) status() ControlStatus {
	now := time.Now()
	c.mu.Lock()
	status := ControlStatus{
		Ready: c.view.Ready(now), Unconfirmed: !c.view.Confirmed(now), Superseded: c.view.Superseded(),
		Pauses: c.view.Pauses(), OneWayPeers: c.view.OneWayContacts(now), Watching: c.watching[wire.PublishedConfig].Load(),
	}
	c.mu.Unlock()
	for _, client := range c.clients {
		status.PlatformReads += client.Reads()
	}
	c.config.withState(func(s *configsync.State) {
		status.Config = s.Counters()
		if refusal, ok := s.LastRefusal(); ok {
			status.LastRefusal = refusal.Err.Error()
		}
	})
	c.directory.withState(func(s *configsync.State) { status.Hosts = s.Counters() })
	return status
}

// Status returns the status of the host. HostsVersion is 0 until a host list is in
// force. Until a configuration is in force as well, ConfigVersion is 0, and Places,
// Hosts, Services and Targets are empty.
func (d *Daemon) Status() Status {
	phase, _ := d.phase()
	status := Status{
		Host: d.opts.Process.Name, Place: d.opts.Process.Place, Ordinal: d.opts.Process.Ordinal,
		Phase: phase.String(), Open: d.openRequests.count.Load(), Control: d.control.status(),
		ConfigAgeSeconds: d.config.timeInForce().Seconds(), Quarantined: d.branch.guard.status(), Callers: d.callerStatus(),
	}
	tree, hosts := d.config.tree(), d.directory.hosts()
	if hosts != nil {
		status.HostsVersion = hosts.list.Version
	}
	if tree == nil || hosts == nil {
		return status
	}
	status.ConfigVersion = tree.Doc.Version
	status.Hosts = d.hostStatus(tree, hosts, status.Phase)
	status.Targets = d.branch.dispatcher.ownedStatus(tree)
	markSuspects(status.Targets, status.Quarantined)
	status.Places = placeStatus(tree, status.Hosts, d.opts.Process.Place, status.Targets)
	status.Services = d.serviceStatus(tree)
	status.HasTenants = tree.HasTenants()
	status.Tenants, status.UnknownKeys = d.entry.tenants.status(tree)
	d.entry.quotas.describe(time.Now(), status.Tenants)
	return status
}

// Confirmed reports whether this host has fully confirmed its incarnation and its
// configuration since it started or was last paused. Commands require this.
func (d *Daemon) Confirmed() bool { return d.control.confirmed() }

// MayUseColdAllowance reports whether this host may send to a cold target within the
// target's cold allowance.
func (d *Daemon) MayUseColdAllowance(t *settings.TargetInfo) bool { return d.control.mayUseCold(t) }

// MayUseShare reports whether this host may use its share of a target: neither an
// earlier process of its ordinal nor an earlier owner can still be using the share.
func (d *Daemon) MayUseShare(target string) bool { return d.control.mayUseShare(target) }

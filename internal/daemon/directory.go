package daemon

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/platform"
)

// ordinalID is the position of a host in the fleet: its ordinal within its place.
type ordinalID struct {
	place   string
	ordinal int
}

// directory knows the hosts of the fleet from the published host list.
type directory struct {
	published
	log     hclog.Logger
	checked *platform.HostList // passed the check last; guarded by published.mu
	current atomic.Pointer[hosts]
	loaded  chan struct{} // closed when a list was read

	// onChange is told the hosts of each newer list; nil tells nobody.
	onChange func([]platform.Host)
}

// hosts is one version of the host list, indexed.
type hosts struct {
	list           *platform.HostList
	byOrdinal      map[ordinalID]platform.Host
	leavingTargets map[string]bool // targets that are leaving
}

func newDirectory(log hclog.Logger) *directory {
	d := &directory{log: log, loaded: make(chan struct{})}
	d.init(d.check, d.activate, false)
	return d
}

// hosts returns the current index; nil before the first list was read.
func (d *directory) hosts() *hosts { return d.current.Load() }

// targetLeaving reports whether the host list names a target as leaving.
func (d *directory) targetLeaving(id string) bool {
	h := d.hosts()
	return h != nil && h.leavingTargets[id]
}

func (d *directory) check(raw []byte) (uint64, error) {
	list, err := platform.ParseHostList(raw)
	if err != nil {
		d.log.Error("host list refused", "error", err)
		return 0, err
	}
	d.checked = list
	return list.Version, nil
}

func (d *directory) activate() {
	first := d.hosts() == nil
	d.current.Store(indexHosts(d.checked))
	if d.onChange != nil {
		d.onChange(d.checked.Hosts)
	}
	if first {
		close(d.loaded)
	}
}

func indexHosts(list *platform.HostList) *hosts {
	h := &hosts{list: list, byOrdinal: map[ordinalID]platform.Host{}, leavingTargets: map[string]bool{}}
	for _, host := range list.Hosts {
		at := ordinalID{host.Place, host.Ordinal}
		// During a replacement both hosts of a ordinalID may be listed; the one
		// that is leaving takes no new work.
		if other, ok := h.byOrdinal[at]; !ok || other.State == platform.HostLeaving {
			h.byOrdinal[at] = host
		}
	}
	for _, t := range list.Targets {
		h.leavingTargets[t.ID] = t.State == platform.HostLeaving
	}
	return h
}

package daemon

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/platform"
)

// seat is the position of a host in the fleet: its ordinal within its place.
type seat struct {
	place   string
	ordinal int
}

// directory knows the hosts of the fleet from the published host list.
type directory struct {
	log     hclog.Logger
	current atomic.Pointer[hosts]
	first   chan struct{} // closed when a list was read
}

// hosts is one version of the host list, indexed.
type hosts struct {
	list    *platform.HostList
	bySeat  map[seat]platform.Host
	leaving map[string]bool // targets that are leaving
}

func newDirectory(log hclog.Logger) *directory {
	return &directory{log: log, first: make(chan struct{})}
}

// hosts returns the current index; nil before the first list was read.
func (d *directory) hosts() *hosts { return d.current.Load() }

// offer adopts a host list that is newer than the current one. It is called by
// one goroutine.
func (d *directory) offer(data []byte) {
	list, err := platform.ParseHostList(data)
	if err != nil {
		d.log.Error("host list refused", "error", err)
		return
	}
	old := d.hosts()
	if old != nil && list.Version <= old.list.Version {
		return
	}
	d.current.Store(indexHosts(list))
	if old == nil {
		close(d.first)
	}
}

func indexHosts(list *platform.HostList) *hosts {
	h := &hosts{list: list, bySeat: map[seat]platform.Host{}, leaving: map[string]bool{}}
	for _, host := range list.Hosts {
		at := seat{host.Place, host.Ordinal}
		// During a replacement both hosts of a seat may be listed; the one
		// that is leaving takes no new work.
		if other, ok := h.bySeat[at]; !ok || other.State == platform.HostLeaving {
			h.bySeat[at] = host
		}
	}
	for _, t := range list.Targets {
		h.leaving[t.ID] = t.State == platform.HostLeaving
	}
	return h
}

package daemon

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/platform"
)

// ordinalID identifies a host of the fleet by its place and its ordinal within the place.
// The process that replaces a host has the same ordinalID.
type ordinalID struct {
	place   string
	ordinal int
}

// directory holds the newest published host list.
type directory struct {
	published
	log     hclog.Logger
	checked *platform.HostList // the last one that passed validation; guarded by published.mu
	current atomic.Pointer[hosts]
	loaded  chan struct{} // closed when the first list is in force

	// onChange is called with the hosts of each newer list; may be nil.
	onChange func([]platform.Host)
}

// hosts is a host list with indexes of its hosts and its leaving targets.
type hosts struct {
	list           *platform.HostList
	byOrdinal      map[ordinalID]platform.Host // a leaving host only if no other has its ordinal
	leavingTargets map[string]bool             // by target identifier: the list marks the target as leaving
}

func newDirectory(log hclog.Logger) *directory {
	d := &directory{log: log, loaded: make(chan struct{})}
	d.init(d.check, d.activate, false)
	return d
}

// hosts returns the current index; nil before the first list.
func (d *directory) hosts() *hosts { return d.current.Load() }

// targetLeaving reports whether the host list marks a target as leaving. It returns
// false before the first list.
func (d *directory) targetLeaving(id string) bool {
	h := d.hosts()
	return h != nil && h.leavingTargets[id]
}

// check validates a host list and returns its version. It is called with published.mu
// held, as activate is.
func (d *directory) check(raw []byte) (uint64, error) {
	list, err := platform.ParseHostList(raw)
	if err != nil {
		d.log.Error("host list refused", "error", err)
		return 0, err
	}
	d.checked = list
	return list.Version, nil
}

// activate puts the host list that passed validation last in force.
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

// indexHosts returns the index of a host list.
func indexHosts(list *platform.HostList) *hosts {
	h := &hosts{list: list, byOrdinal: map[ordinalID]platform.Host{}, leavingTargets: map[string]bool{}}
	for _, host := range list.Hosts {
		at := ordinalID{host.Place, host.Ordinal}
		// During a replacement both processes of an ordinal may be listed; the
		// leaving one takes no new work.
		if listed, ok := h.byOrdinal[at]; !ok || listed.State == platform.HostLeaving {
			h.byOrdinal[at] = host
		}
	}
	for _, t := range list.Targets {
		h.leavingTargets[t.ID] = t.State == platform.HostLeaving
	}
	return h
}

package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/telemetry"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// phaseUnknown is the phase of a host that has reported none.
const phaseUnknown = "unknown"

// PlaceStatus is the state of a place as seen by the answering host.
type PlaceStatus struct {
	Name  string `json:"name"`
	State string `json:"state"` // in, out
	Self  bool   `json:"self"`  // the place of the answering host
	Hosts int    `json:"hosts"` // host ordinals by the configuration
	Live  int    `json:"live"`  // listed hosts in service that have not reported a shutdown
	Heard int    `json:"heard"` // listed hosts from which a message arrived recently
	// InUse is the number of slots in use on the targets that the answering host
	// owns; 0 for other places.
	InUse int `json:"in_use"`
}

// HostStatus is the state of a listed host as seen by the answering host.
type HostStatus struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Ordinal int    `json:"ordinal"`
	Self    bool   `json:"self"`   // the answering host
	State   string `json:"state"`  // live or leaving by the host list; out if the configuration takes the host or its place out of service
	Phase   string `json:"phase"`  // serving or leaving as last reported, else unknown; any phase for the answering host
	Heard   bool   `json:"heard"`  // a message arrived from the host recently
	Silent  bool   `json:"silent"` // its messages or its acknowledgements are overdue
	// AgeSeconds is the time since its last message; null if none arrived.
	AgeSeconds    *float64 `json:"age_seconds"`
	Load          float64  `json:"load"`           // used fraction of its capacity, 0 to 1
	ConfigVersion uint64   `json:"config_version"` // version in force there; 0 if unknown
}

// ServiceStatus is the state of a service as seen by the answering entry host.
type ServiceStatus struct {
	Service string               `json:"service"`
	Kind    settings.ServiceKind `json:"kind"`
	Groups  int                  `json:"groups"`
	// Unusable lists the groups without a replica that is usable by configuration and
	// host list.
	Unusable []string `json:"unusable,omitempty"`
	telemetry.Window
}

// hostStatus returns the listed hosts, sorted by place, ordinal and name.
func (d *Daemon) hostStatus(tree *settings.Tree, hosts *hosts, phase string) []HostStatus {
	all := make([]HostStatus, len(hosts.list.Hosts))
	for i, h := range hosts.list.Hosts {
		s := HostStatus{Name: h.Name, Place: h.Place, Ordinal: h.Ordinal, State: string(h.State), Self: h.Name == d.opts.Process.Name}
		if slices.Contains(tree.Doc.HostsOut, h.Name) || !tree.PlaceInService(h.Place) {
			s.State = "out"
		}
		if s.Self {
			s.Phase, s.Heard, s.AgeSeconds = phase, true, new(float64)
			s.Load, s.ConfigVersion = float64(d.entry.admission.utilization())/255, tree.Doc.Version
		} else {
			d.control.describe(&s)
		}
		all[i] = s
	}
	slices.SortFunc(all, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Ordinal, b.Ordinal), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// describe fills in the last report of a host.
func (c *control) describe(s *HostStatus) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Heard, s.Phase = c.view.Heard(now, s.Name), phaseUnknown
	_, s.Silent = c.view.PeerState(now, s.Name)
	report, ok := c.view.LastReport(s.Name)
	if !ok {
		return
	}
	age := now.Sub(report.At).Seconds()
	s.AgeSeconds, s.Load, s.ConfigVersion = &age, float64(report.Load)/255, report.Config
	s.Phase = phaseOf(report).String()
}

// phaseOf returns the reported phase of a host. Heartbeats do not distinguish
// closing from leaving.
func phaseOf(report membership.PeerReport) drain.Phase {
	if report.Leaving {
		return drain.Leaving
	}
	return drain.Serving
}

// placeStatus returns the configured places, sorted by name.
func placeStatus(tree *settings.Tree, hosts []HostStatus, own string, targets []TargetStatus) []PlaceStatus {
	all := make([]PlaceStatus, 0, len(tree.Doc.Places))
	for name, place := range tree.Doc.Places {
		s := PlaceStatus{Name: name, State: string(place.State), Self: name == own, Hosts: place.Hosts}
		for _, h := range hosts {
			if h.Place != name {
				continue
			}
			if h.Heard {
				s.Heard++
			}
			if h.State == string(platform.HostLive) && (h.Phase == drain.Serving.String() || h.Phase == phaseUnknown) {
				s.Live++
			}
		}
		if s.Self {
			for _, t := range targets {
				s.InUse += t.InUse
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b PlaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// serviceStatus returns the services, sorted by name, with the results of the
// requests of the last minute.
func (d *Daemon) serviceStatus(tree *settings.Tree) []ServiceStatus {
	now := time.Now()
	all := make([]ServiceStatus, 0, len(tree.Doc.Services))
	for name, service := range tree.Doc.Services {
		all = append(all, ServiceStatus{
			Service: name, Kind: service.Kind, Groups: len(service.Groups),
			Unusable: d.entry.unusable(tree, service.Groups), Window: d.opts.Metrics.Recent.Window(now, name),
		})
	}
	slices.SortFunc(all, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// unusable returns the groups without a usable replica.
func (e *entry) unusable(tree *settings.Tree, groups []settings.Group) (names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range groups {
		usable := slices.ContainsFunc(e.routingGroup(tree, &groups[i], 0, nil).Candidates, func(o routing.Candidate) bool { return len(o.Owners) > 0 })
		if !usable {
			names = append(names, groups[i].ID)
		}
	}
	return names
}

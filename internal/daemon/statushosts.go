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

// phaseUnknown is the phase of a host that has said nothing.
const phaseUnknown = "unknown"

// PlaceStatus is what a host knows of a place.
type PlaceStatus struct {
	Name  string `json:"name"`
	State string `json:"state"` // in, out
	Self  bool   `json:"self"`  // this host is in it
	Hosts int    `json:"hosts"` // ordinals by the configuration
	Live  int    `json:"live"`  // listed hosts that take work
	Heard int    `json:"heard"` // listed hosts that were heard recently
	// InUse are the slots in use of the targets that this host owns; 0 for
	// other places.
	InUse int `json:"in_use"`
}

// HostStatus is what a host knows of a listed host.
type HostStatus struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Ordinal int    `json:"ordinal"`
	Self    bool   `json:"self"`   // the answering host
	State   string `json:"state"`  // live or leaving by the host list; out if the configuration takes it or its place out
	Phase   string `json:"phase"`  // serving or leaving by its own last message, else unknown; the own phase in full
	Heard   bool   `json:"heard"`  // this host has heard from it recently
	Silent  bool   `json:"silent"` // it should have been heard and was not
	// AgeSeconds is the time since its last message; null if none came.
	AgeSeconds    *float64 `json:"age_seconds"`
	Load          float64  `json:"load"`           // fraction of its capacity in use
	ConfigVersion uint64   `json:"config_version"` // in force there; 0 if not known
}

// ServiceStatus is the state of a service as this entry host sees it.
type ServiceStatus struct {
	Service string               `json:"service"`
	Kind    settings.ServiceKind `json:"kind"`
	Groups  int                  `json:"groups"`
	// Unusable are the groups without a replica that configuration and host
	// list allow.
	Unusable []string `json:"unusable,omitempty"`
	telemetry.Window
}

// hostStatus returns the listed hosts by place and ordinal.
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

// describe fills in what a host said last.
func (c *control) describe(s *HostStatus) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Heard, s.Phase = c.view.Heard(now, s.Name), phaseUnknown
	_, s.Silent = c.view.PeerState(now, s.Name)
	known, ok := c.view.LastReport(s.Name)
	if !ok {
		return
	}
	age := now.Sub(known.At).Seconds()
	s.AgeSeconds, s.Load, s.ConfigVersion = &age, float64(known.Load)/255, known.Config
	s.Phase = phaseOf(known).String()
}

// phaseOf returns the phase that a host has told. Heartbeats do not tell
// closing apart from leaving.
func phaseOf(known membership.PeerReport) drain.Phase {
	if known.Leaving {
		return drain.Leaving
	}
	return drain.Serving
}

// placeStatus returns the configured places by name.
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

// serviceStatus returns the services by name, with what became of the requests
// of the last minute.
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

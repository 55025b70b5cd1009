package daemon

import (
	"net/http"

	"github.com/lacewingyard/lacewingyard/internal/api"
)

// Status is what a host says about itself on the operators' listener.
type Status struct {
	Host          string            `json:"host"`
	Place         string            `json:"place"`
	Ordinal       int               `json:"ordinal"`
	Phase         string            `json:"phase"` // serving, leaving, closing
	Open          int64             `json:"open"`  // requests of callers in progress
	ConfigVersion uint64            `json:"config_version"`
	HostsVersion  uint64            `json:"hosts_version"`
	Places        map[string]string `json:"places"`
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	tree := d.config.tree()
	status := Status{
		Host: d.opts.Process.Name, Place: d.opts.Process.Place, Ordinal: d.opts.Process.Ordinal,
		Phase: d.phase().String(), Open: d.open.count.Load(),
		ConfigVersion: tree.Doc.Version, HostsVersion: d.directory.hosts().list.Version,
		Places: map[string]string{},
	}
	for name, place := range tree.Doc.Places {
		status.Places[name] = string(place.State)
	}
	api.WriteJSON(w, http.StatusOK, status)
}

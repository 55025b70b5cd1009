package daemon

import (
	"html/template"
	"net/http"
	"strings"

	"github.com/lacewingyard/lacewingyard/internal/api"
)

// HostStatus is what a host knows of a listed host.
type HostStatus struct {
	Name  string `json:"name"`
	Place string `json:"place"`
	State string `json:"state"`
	Heard bool   `json:"heard"` // this host has heard from it recently
}

var statusPage = template.Must(template.New("status").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Host}}</title></head><body>
<h1>Host {{.Host}} in {{.Place}}</h1>
<p>Phase: {{.Phase}}. Requests in progress: {{.Open}}. May start work: {{if .Control.Ready}}yes{{else}}no{{end}}.</p>
<h2>Configuration</h2>
<p>Version {{.ConfigVersion}}, in force for {{printf "%.0f" .ConfigAgeSeconds}} s; {{.Control.Config.Refused}} documents refused.
{{with .Control.LastRefusal}}Last refusal: {{.}}{{end}}</p>
<h2>Places</h2><table><tr><th>Place</th><th>State</th></tr>
{{range $name, $state := .Places}}<tr><td>{{$name}}</td><td>{{$state}}</td></tr>
{{end}}</table>
<h2>Hosts</h2><table><tr><th>Host</th><th>Place</th><th>State</th><th>Heard recently</th></tr>
{{range .Hosts}}<tr><td>{{.Name}}</td><td>{{.Place}}</td><td>{{.State}}</td><td>{{if .Heard}}yes{{else}}no{{end}}</td></tr>
{{end}}</table>
<h2>Targets of this host</h2><table><tr><th>Target</th><th>State</th><th>Slots in use</th><th>Slots</th><th>Waiting</th><th>Usual latency, ms</th></tr>
{{range .Targets}}<tr><td>{{.Target}}</td><td>{{.State}}</td><td>{{.InUse}}</td><td>{{.Slots}}</td><td>{{.Queue}}</td><td>{{printf "%.1f" .UsualMS}}</td></tr>
{{end}}</table>
<h2>Queries that crash targets</h2><table><tr><th>Fingerprint</th><th>State</th><th>Refused for, s</th><th>Deaths</th></tr>
{{range .Quarantined}}<tr><td>{{.Fingerprint}}</td><td>{{.State}}</td><td>{{printf "%.0f" .LeftSeconds}}</td><td>{{.Deaths}}</td></tr>
{{end}}</table>
</body></html>
`))

// serveStatus answers a browser with a page and every other client with JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := d.Status()
	if !strings.Contains(r.Header.Get("Accept"), "text/html") {
		api.WriteJSON(w, http.StatusOK, status)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'")
	if err := statusPage.Execute(w, &status); err != nil {
		d.log.Debug("status page was not sent", "error", err)
	}
}

// hostStatus returns the listed hosts.
func (c *control) hostStatus(hosts *hosts) []HostStatus {
	if hosts == nil {
		return nil
	}
	heard := map[string]bool{c.self.Name: true}
	c.eachHeard(func(name string) { heard[name] = true })
	all := make([]HostStatus, len(hosts.list.Hosts))
	for i, h := range hosts.list.Hosts {
		all[i] = HostStatus{Name: h.Name, Place: h.Place, State: string(h.State), Heard: heard[h.Name]}
	}
	return all
}

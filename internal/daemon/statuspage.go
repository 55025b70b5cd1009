package daemon

import (
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
)

//go:embed status.html
var statusHTML string

// statusPage parses the template at its first use, which keeps the cost out of the
// start of the process.
var statusPage = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("status").Funcs(template.FuncMap{
		"ago": ago, "percent": percent, "join": strings.Join,
	}).Parse(statusHTML))
})

// ago formats the age of a message, in seconds; nil means that none arrived.
func ago(seconds *float64) string {
	switch {
	case seconds == nil:
		return "never"
	case *seconds < 10:
		return fmt.Sprintf("%.1f s ago", *seconds)
	default:
		return time.Duration(*seconds*float64(time.Second)).Round(time.Second).String() + " ago"
	}
}

// percent formats a fraction in percent. Two decimals distinguish 0.9999 from 1.
func percent(fraction float64) string { return fmt.Sprintf("%.2f %%", 100*fraction) }

// serveStatus serves the status as a page to clients that accept HTML and as JSON
// to all others.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := d.Status()
	if !strings.Contains(r.Header.Get("Accept"), "text/html") {
		api.WriteJSON(w, http.StatusOK, status)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// The page has an inline style sheet and loads no other resource.
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := statusPage().Execute(w, &status); err != nil {
		d.log.Debug("status page could not be sent", "error", err)
	}
}

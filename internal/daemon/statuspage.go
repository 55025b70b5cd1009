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

// statusPage is parsed at its first use, not at the start of the process.
var statusPage = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("status").Funcs(template.FuncMap{
		"ago": ago, "percent": percent, "join": strings.Join,
	}).Parse(statusHTML))
})

// ago describes the age of a message in seconds; nil means that none came.
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

// percent shows a fraction; four digits tell 0.9999 from 1.
func percent(fraction float64) string { return fmt.Sprintf("%.2f %%", 100*fraction) }

// serveStatus answers a browser with a page and every other client with JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := d.Status()
	if !strings.Contains(r.Header.Get("Accept"), "text/html") {
		api.WriteJSON(w, http.StatusOK, status)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// The page has a style sheet of its own and loads nothing.
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if err := statusPage().Execute(w, &status); err != nil {
		d.log.Debug("status page was not sent", "error", err)
	}
}

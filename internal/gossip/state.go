package gossip

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

const (
	statePath = "/state"
	// maxState bounds the state of a peer: a configuration of a megabyte and ten
	// thousand targets.
	maxState = 8 << 20
	// pullLimit bounds a pull; another peer is asked after that.
	pullLimit = 600 * time.Millisecond
)

// stateDocument is the published state as hosts pass it on.
type stateDocument struct {
	View *catalog.View `cbor:"1,keyasint"`
	// ConfirmedAge is how long before sending the store confirmed it, in
	// milliseconds.
	ConfirmedAge int64 `cbor:"2,keyasint"`
}

// StateHandler serves the state to peers.
func StateHandler(current func() (view *catalog.View, confirmedAge time.Duration)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		view, age := current()
		if view == nil {
			http.Error(w, "no state yet", http.StatusServiceUnavailable)
			return
		}
		data, err := cbor.Marshal(stateDocument{View: relative(view, time.Now()), ConfirmedAge: age.Milliseconds()})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	})
	return mux
}

// relative returns the view with times that do not depend on this host's clock.
func relative(v *catalog.View, now time.Time) *catalog.View {
	out := *v
	out.Targets = make(map[string]*catalog.Target, len(v.Targets))
	for id, t := range v.Targets {
		copied := *t
		copied.Cold = max(0, t.Cold-now.Sub(t.SeenAt))
		copied.SeenAt = time.Time{}
		out.Targets[id] = &copied
	}
	return &out
}

// Puller reads the state of peers.
type Puller struct{ client *http.Client }

// NewPuller returns a puller.
func NewPuller() *Puller {
	return &Puller{client: &http.Client{Timeout: pullLimit, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Pull reads the state of the peer at an address, and how long ago the store
// confirmed it.
func (p *Puller) Pull(ctx context.Context, address string) (*catalog.View, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("peer %s answered %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return nil, 0, err
	}
	var d stateDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, 0, errors.Wrapf(err, "state of peer %s", address)
	}
	if d.View == nil || d.ConfirmedAge < 0 {
		return nil, 0, errors.Newf("state of peer %s: it is incomplete", address)
	}
	now := time.Now()
	for _, t := range d.View.Targets {
		t.SeenAt = now
	}
	return d.View, time.Duration(d.ConfirmedAge) * time.Millisecond, nil
}

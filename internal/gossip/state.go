package gossip

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
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

// Position is what a host that asks a peer for its state has already.
type Position struct {
	Revision      uint64 // of the store; 0: nothing
	ConfigVersion uint64 // version of the configuration
}

// Update is what a peer tells of the published state.
type Update struct {
	// View is the whole state; nil if Changes complete what the other host knows.
	View *catalog.View
	// Changes complete the knowledge of a host that has all up to After.
	Changes  []catalog.Item
	After    uint64
	Revision uint64
	// ConfirmedAge is how long ago the store confirmed it.
	ConfirmedAge time.Duration
}

// stateDocument is a State as hosts pass it on.
type stateDocument struct {
	View *catalog.View `cbor:"1,keyasint,omitempty"`
	// ConfirmedAge is in milliseconds before sending.
	ConfirmedAge int64          `cbor:"2,keyasint"`
	Changes      []catalog.Item `cbor:"3,keyasint,omitempty"`
	Revision     uint64         `cbor:"4,keyasint"`
	After        uint64         `cbor:"5,keyasint,omitempty"`
}

// Query parameters of a pull.
const (
	afterParam  = "after"  // revision
	configParam = "config" // version
)

// StateHandler serves the state to peers. current returns what a host lacks, false
// if nothing is known yet.
func StateHandler(current func(Position) (Update, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		var known Position
		for name, to := range map[string]*uint64{afterParam: &known.Revision, configParam: &known.ConfigVersion} {
			var err error
			if *to, err = strconv.ParseUint(r.URL.Query().Get(name), 10, 64); err != nil {
				http.Error(w, name+" is no number", http.StatusBadRequest)
				return
			}
		}
		state, ok := current(known)
		if !ok {
			http.Error(w, "no state yet", http.StatusServiceUnavailable)
			return
		}
		data, err := state.encode(time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// An error means that the peer left.
		_, _ = w.Write(data)
	})
	return mux
}

// encode returns the state with times that do not depend on this host's clock.
func (s *Update) encode(now time.Time) ([]byte, error) {
	d := stateDocument{ConfirmedAge: s.ConfirmedAge.Milliseconds(), Revision: s.Revision, After: s.After}
	if s.View != nil {
		view := *s.View
		view.Targets = make(map[string]*catalog.Target, len(s.View.Targets))
		for id, t := range s.View.Targets {
			view.Targets[id] = relative(t, now)
		}
		d.View = &view
	}
	for _, it := range s.Changes {
		it.Target = relative(it.Target, now)
		d.Changes = append(d.Changes, it)
	}
	return cbor.Marshal(d)
}

func relative(t *catalog.Target, now time.Time) *catalog.Target {
	if t == nil {
		return nil
	}
	copied := *t
	copied.Cold = max(0, t.Cold-now.Sub(t.SeenAt))
	return &copied
}

// Puller reads the state of peers.
type Puller struct{ client *http.Client }

// NewPuller returns a puller.
func NewPuller() *Puller {
	return &Puller{client: &http.Client{Timeout: pullLimit, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Pull reads what a host lacks from the peer at an address.
func (p *Puller) Pull(ctx context.Context, address string, known Position) (Update, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, statePath, afterParam, known.Revision, configParam, known.ConfigVersion)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Update{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Update{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Update{}, errors.Newf("peer %s answered %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return Update{}, err
	}
	s, err := decodeState(data, time.Now())
	return s, errors.Wrapf(err, "state of peer %s", address)
}

// decodeState decodes a state that arrived now.
func decodeState(data []byte, now time.Time) (Update, error) {
	var d stateDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Update{}, err
	}
	if d.ConfirmedAge < 0 || d.Revision == 0 || d.View != nil && d.View.Revision != d.Revision {
		return Update{}, errors.New("it is incomplete")
	}
	if d.View != nil {
		for id, t := range d.View.Targets {
			if t == nil {
				return Update{}, errors.Newf("target %s is empty", id)
			}
			t.SeenAt = now
		}
	}
	for _, it := range d.Changes {
		if it.Target != nil {
			it.Target.SeenAt = now
		}
	}
	return Update{
		View: d.View, Changes: d.Changes, After: d.After, Revision: d.Revision,
		ConfirmedAge: time.Duration(d.ConfirmedAge) * time.Millisecond,
	}, nil
}

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
	// maxUpdateBytes bounds the response to a pull, enough for a configuration of 1 MB
	// and 10,000 targets.
	maxUpdateBytes = 8 << 20
	// maxHeadBytes bounds the head of the response to a pull.
	maxHeadBytes = 16 << 10
	// pullTimeout bounds a pull, so that another peer can be asked in time.
	pullTimeout = 600 * time.Millisecond
)

// Position identifies the published state that a host has. A pull returns what was
// published after it.
type Position struct {
	Revision      uint64 // of the store; 0 if the host has no state
	ConfigVersion uint64
}

// Update transfers the published state at Revision to another host: the whole state
// or the changes after a revision that the receiver has.
type Update struct {
	// View is the whole state; nil if Changes are sent instead.
	View *catalog.View
	// Changes are all changes after the revision After, up to Revision.
	Changes  []catalog.Item
	After    uint64
	Revision uint64
	// ConfirmedAge is the time since the store last confirmed that Revision is the
	// latest.
	ConfirmedAge time.Duration
}

// wireUpdate is the encoding of an Update.
type wireUpdate struct {
	View *catalog.View `cbor:"1,keyasint,omitempty"`
	// ConfirmedAge is in milliseconds at the time of sending.
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

// StateHandler serves pulls of peers. updateFor returns what a host at a position
// lacks, or false if this host has no state yet; the response is then 503. A request
// without a valid position is answered with 400.
func StateHandler(updateFor func(Position) (Update, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		var position Position
		for name, to := range map[string]*uint64{afterParam: &position.Revision, configParam: &position.ConfigVersion} {
			var err error
			if *to, err = strconv.ParseUint(r.URL.Query().Get(name), 10, 64); err != nil {
				http.Error(w, name+" is not an unsigned integer", http.StatusBadRequest)
				return
			}
		}
		update, ok := updateFor(position)
		if !ok {
			http.Error(w, "this host has no published state yet", http.StatusServiceUnavailable)
			return
		}
		data, err := update.encode(time.Now())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A write error means that the peer closed the connection.
		_, _ = w.Write(data)
	})
	return mux
}

// encode encodes the update with durations instead of times, because the clocks of
// hosts differ.
func (u *Update) encode(now time.Time) ([]byte, error) {
	w := wireUpdate{ConfirmedAge: u.ConfirmedAge.Milliseconds(), Revision: u.Revision, After: u.After}
	if u.View != nil {
		view := *u.View
		view.Targets = make(map[string]*catalog.Target, len(u.View.Targets))
		for id, t := range u.View.Targets {
			view.Targets[id] = withRemainingCold(t, now)
		}
		w.View = &view
	}
	for _, it := range u.Changes {
		it.Target = withRemainingCold(it.Target, now)
		w.Changes = append(w.Changes, it)
	}
	return cbor.Marshal(w)
}

// withRemainingCold returns a copy of a target whose Cold is the time left from now
// on; nil if there is no target.
func withRemainingCold(t *catalog.Target, now time.Time) *catalog.Target {
	if t == nil {
		return nil
	}
	copied := *t
	copied.Cold = max(0, t.Cold-now.Sub(t.SeenAt))
	return &copied
}

// Puller pulls the published state from peers. It is safe for concurrent use.
type Puller struct{ client *http.Client }

// NewPuller returns a Puller that opens a connection for each pull.
func NewPuller() *Puller {
	return &Puller{client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// Pull requests what a host at a position lacks from the peer at an IP:port. It
// returns an error if the peer does not answer within 600 ms, has no state yet or
// sends a malformed update.
func (p *Puller) Pull(ctx context.Context, address string, position Position) (Update, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, statePath, afterParam, position.Revision, configParam, position.ConfigVersion)
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
		return Update{}, errors.Newf("peer %s answered with status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxUpdateBytes))
	if err != nil {
		return Update{}, err
	}
	u, err := decodeUpdate(data, time.Now())
	return u, errors.Wrapf(err, "decode update of peer %s", address)
}

// decodeUpdate decodes an update that arrived now. It rejects updates without a
// revision, with a negative age, with a view of another revision or with an empty
// target in the view.
func decodeUpdate(data []byte, now time.Time) (Update, error) {
	var w wireUpdate
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Update{}, err
	}
	if w.ConfirmedAge < 0 || w.Revision == 0 || w.View != nil && w.View.Revision != w.Revision {
		return Update{}, errors.New("update is incomplete or inconsistent")
	}
	if w.View != nil {
		for id, t := range w.View.Targets {
			if t == nil {
				return Update{}, errors.Newf("target %s is empty", id)
			}
			t.SeenAt = now
		}
	}
	for _, it := range w.Changes {
		if it.Target != nil {
			it.Target.SeenAt = now
		}
	}
	return Update{
		View: w.View, Changes: w.Changes, After: w.After, Revision: w.Revision,
		ConfirmedAge: time.Duration(w.ConfirmedAge) * time.Millisecond,
	}, nil
}

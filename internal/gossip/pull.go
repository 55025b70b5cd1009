package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/pkg/published"
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
	// maxWholeStates is the number of whole states that a host sends at a time. After a
	// restart of all hosts, hundreds ask the same few; one that has received the state
	// soon sends it to others.
	maxWholeStates = 4
	// stateCacheTime is how long an encoded whole state is sent to further peers.
	stateCacheTime = 100 * time.Millisecond
)

// Query parameters of a pull, and headers of the response.
const (
	eraParam    = "era"         // of the revision; may be absent
	afterParam  = "after"       // revision
	configParam = "config"      // version
	peersHeader = "Peers"       // of a refusal: addresses of other hosts that have the state, separated by commas
	ageHeader   = "Encoded-Ago" // milliseconds since the state was encoded; absent if it was just now
)

// Sources provides what StateHandler sends.
type Sources struct {
	// UpdateFor returns what a host at a position lacks, or false if this host has no
	// state yet.
	UpdateFor func(published.Position) (published.Update, bool)
	// Others returns addresses of some other hosts that have the state.
	Others func() []string
}

// StateHandler serves pulls of peers. Without a state, the response is 503. A request
// without a valid position is answered with 400. While maxWholeStates are being sent, a
// request for one more is answered with 429 and the addresses of others.
func StateHandler(s Sources) http.Handler {
	h := &stateHandler{sources: s, whole: make(chan struct{}, maxWholeStates)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, h.serve)
	return mux
}

// stateHandler is safe for concurrent use.
type stateHandler struct {
	sources Sources
	whole   chan struct{} // holds an item for each whole state that is being sent

	mu      sync.Mutex
	cached  []byte // a whole state, encoded and compressed
	encoded time.Time
}

func (h *stateHandler) serve(w http.ResponseWriter, r *http.Request) {
	var position published.Position
	query := r.URL.Query()
	for name, to := range map[string]*uint64{afterParam: &position.Revision, configParam: &position.ConfigVersion, eraParam: &position.Era} {
		if name == eraParam && !query.Has(name) {
			continue
		}
		var err error
		if *to, err = strconv.ParseUint(query.Get(name), 10, 64); err != nil {
			http.Error(w, name+" is not an unsigned integer", http.StatusBadRequest)
			return
		}
	}
	compress := strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
	if position.Revision == 0 && compress {
		h.serveWhole(w)
		return
	}
	update, ok := h.sources.UpdateFor(position)
	if !ok {
		http.Error(w, "this host has no published state yet", http.StatusServiceUnavailable)
		return
	}
	if update.View != nil && compress {
		h.serveWhole(w)
		return
	}
	data, err := encodeUpdate(&update, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A write error means that the peer closed the connection.
	_, _ = w.Write(data)
}

// serveWhole sends the whole state, compressed.
func (h *stateHandler) serveWhole(w http.ResponseWriter) {
	select {
	case h.whole <- struct{}{}:
		defer func() { <-h.whole }()
	default:
		w.Header().Set(peersHeader, strings.Join(h.sources.Others(), ","))
		http.Error(w, "this host is sending the state to others", http.StatusTooManyRequests)
		return
	}
	data, age, err := h.compressed(time.Now())
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	case data == nil:
		http.Error(w, "this host has no published state yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	// A peer that reads slowly has given up by then. Errors mean that it is gone.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(pullTimeout))
	_, _ = w.Write(data)
}

// compressed returns the whole state, encoded and compressed, and how long ago that was,
// at most stateCacheTime. The state is nil if there is none.
func (h *stateHandler) compressed(now time.Time) ([]byte, time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if age := now.Sub(h.encoded); h.cached != nil && age < stateCacheTime {
		return h.cached, max(0, age), nil
	}
	update, ok := h.sources.UpdateFor(published.Position{})
	if !ok {
		return nil, 0, nil
	}
	data, err := encodeUpdate(&update, now)
	if err != nil {
		return nil, 0, err
	}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, 0, err
	}
	if _, err := z.Write(data); err != nil {
		return nil, 0, err
	}
	if err := z.Close(); err != nil {
		return nil, 0, err
	}
	h.cached, h.encoded = out.Bytes(), now
	return h.cached, 0, nil
}

// BusyError is the error of a pull from a peer that is sending the state to others.
type BusyError struct{ Peers []string } // addresses of other hosts that have the state

func (e *BusyError) Error() string { return "the peer is sending the state to others" }

// Puller pulls the published state from peers. It is safe for concurrent use.
type Puller struct{ client *http.Client }

// NewPuller returns a Puller that opens a connection for each pull.
func NewPuller() *Puller {
	return &Puller{client: &http.Client{Timeout: pullTimeout, Transport: httpanswer.NewTransport(&http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}}
}

// Pull requests what a host at a position lacks from the peer at an IP:port. It returns a
// BusyError if the peer names others, and another error if the peer does not answer within
// 600 ms, has no state yet or sends a malformed update.
func (p *Puller) Pull(ctx context.Context, address string, position published.Position) (published.Update, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d&%s=%d", address, statePath, eraParam, position.Era, afterParam, position.Revision, configParam, position.ConfigVersion)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return published.Update{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return published.Update{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return published.Update{}, &BusyError{Peers: splitAddresses(resp.Header.Get(peersHeader))}
	default:
		return published.Update{}, errors.Newf("peer %s answered with status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxUpdateBytes))
	if err != nil {
		return published.Update{}, err
	}
	age, err := encodedAgo(resp.Header)
	if err != nil {
		return published.Update{}, errors.Wrapf(err, "header %s of peer %s", ageHeader, address)
	}
	u, err := decodeUpdate(data, time.Now().Add(-age))
	u.ConfirmedAge += age
	return u, errors.Wrapf(err, "decode update of peer %s", address)
}

// encodedAgo returns how long ago a response was encoded.
func encodedAgo(h http.Header) (time.Duration, error) {
	value := h.Get(ageHeader)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	return time.Duration(ms) * time.Millisecond, err
}

// splitAddresses returns the addresses of a header value.
func splitAddresses(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}

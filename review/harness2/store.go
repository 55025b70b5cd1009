package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyTime  = 20 * time.Second // history_s of the settings
	pageItems    = 500
	pageBytes    = 1 << 20 // of values in one answer to kv-range, at least one item
	maxWatchWait = 30 * time.Second
)

// store is a metadata store as PROTOCOL.md describes it, without reads of stale state, which the
// hosts do not use. It keeps the history of historyTime.
type store struct {
	address string
	server  *http.Server

	mu          sync.Mutex
	revision    uint64
	items       map[string]storeItem
	history     []storeItem // oldest first
	compactedAt uint64      // history up to this revision is gone
	changed     chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of this program have a JSON form
	}
	s.putBytes(key, data)
}

func (s *store) putBytes(key string, value []byte) {
	s.apply(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

func (s *store) remove(key string) { s.apply(storeItem{Key: key, Deleted: true}) }

// apply records a change, drops the history that is too old and wakes the watches.
func (s *store) apply(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.at, it.Created = s.revision, time.Now(), s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		it.Created = 0
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compactedAt = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		CurrentRev uint64 `json:"current_rev"`
	}{it, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < len(found) && count < pageItems && (count == 0 || size+len(found[count].Value) <= pageBytes) {
		size += len(found[count].Value)
		count++
	}
	writeJSON(w, map[string]any{"items": found[:count], "more_pages": count < len(found), "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	for {
		events, revision, gone, changed := s.since(q.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, and whether that history is gone.
func (s *store) since(prefix string, after uint64) (events []storeItem, revision uint64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedAt {
		return nil, 0, true, nil
	}
	events = []storeItem{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, false, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the host has left
}

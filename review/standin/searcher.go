package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a searcher began to work on.
type run struct {
	searcher, id, method, uri string
	bodyBytes                 int
	at, ended                 time.Time
	answered                  bool // the whole answer was written to the host's connection
}

// slotCount and queueLength are those of the searchers of renewals in the site file.
const (
	slotCount   = 3
	queueLength = 12
)

// searcher is a sound searcher of a service: it runs slotCount requests at a time, queues
// queueLength more and refuses further ones. It answers each request that names its id after a
// set time of work, or stops at the request's Deadline-Ms or when the connection closes.
type searcher struct {
	id, service, address string
	work                 time.Duration
	slots                chan struct{}

	mu       sync.Mutex
	runs     []*run
	admitted int // requests that run or wait for a slot
}

func newSearcher(id, service string, work time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{id: id, service: service, address: l.Addr().String(), work: work, slots: make(chan struct{}, slotCount)}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// entryOf returns the entry of a searcher in the store.
func entryOf(service, address string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "boston-hall", "config_version": "v1",
		"max_concurrency": slots, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": startedAt.UnixMilli(),
	}
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header()["Content-Type"] = nil
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete and does not run
	}
	limit := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	stop := time.After(limit)
	if !s.admit() {
		notExecuted(w)
		return
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-stop:
		notExecuted(w)
		return
	case <-r.Context().Done():
		return
	}
	began := &run{searcher: s.id, id: id, method: r.Method, uri: r.RequestURI, bodyBytes: len(body), at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, began)
	s.mu.Unlock()
	answered := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		began.ended, began.answered = time.Now(), answered
	}()
	select {
	case <-time.After(s.work):
	case <-stop:
		w.Header().Set("Server-Stamp", stampOf(s.id, id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Stamp", stampOf(s.id, id))
	_, err = w.Write([]byte(answerBody(id)))
	answered = err == nil
}

// admit reports whether there is room for another request.
func (s *searcher) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted >= slotCount+queueLength {
		return false
	}
	s.admitted++
	return true
}

func (s *searcher) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

// notExecuted refuses a request that has not run.
func notExecuted(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func stampOf(searcher, id string) string { return fmt.Sprintf("%s.%s", searcher, id) }

func answerBody(id string) string { return "the record of request " + id + "\n" }

// runsOf returns the runs of a request at any of the searchers.
func runsOf(searchers []*searcher, id string) []run {
	var runs []run
	for _, s := range searchers {
		s.mu.Lock()
		for _, r := range s.runs {
			if r.id == id {
				runs = append(runs, *r)
			}
		}
		s.mu.Unlock()
	}
	return runs
}

package standin

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Platform is a fake of the service that publishes the configuration and the host
// list. Values are read and watched over HTTP and published by the owner of the
// Platform. It is safe for concurrent use.
type Platform struct {
	server       *http.Server
	baseURL      string // without a path
	reads        atomic.Int64
	down         atomic.Bool
	uncompressed atomic.Bool // answers have no content coding

	mu          sync.Mutex
	values      map[string][]*value // all published versions by key, oldest first
	maxVersions map[string]uint64   // highest version served, by reader; 0 for no limit
}

// value is one published version.
type value struct {
	data    []byte
	version uint64
	changed chan struct{} // closed when the next version is published
	gzip    func() []byte // returns data with the content coding gzip
}

// NewPlatform starts the stand-in on a loopback port.
func NewPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{baseURL: "http://" + listener.Addr().String(), values: map[string][]*value{}, maxVersions: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.serve)
	mux.HandleFunc("GET /v1/readers/{reader}/values/{key}", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Close stops the stand-in and closes its connections.
func (p *Platform) Close() { _ = p.server.Close() }

// URL returns the URL of a value.
func (p *Platform) URL(key string) string { return p.baseURL + "/v1/values/" + key }

// ReaderURL returns the URL of a value for one reader, whose view SetMaxVersion can
// limit.
func (p *Platform) ReaderURL(reader, key string) string {
	return p.baseURL + "/v1/readers/" + reader + "/values/" + key
}

// SetMaxVersion limits all values to a highest version for one reader, so that the
// reader's data are stale; 0 removes the limit. Open long polls apply the change at
// the next publication of their value.
func (p *Platform) SetMaxVersion(reader string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxVersions[reader] = version
}

// Reads returns the number of calls received so far; a long poll counts as one.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// SetDown makes calls fail with status 503 while down is true. Open long polls apply
// the change at the next publication of their value.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// SetUncompressed makes the service answer without a content coding while uncompressed
// is true.
func (p *Platform) SetUncompressed(uncompressed bool) { p.uncompressed.Store(uncompressed) }

// Publish publishes a version of a value and answers open long polls. It accepts any
// bytes, so that tests can publish documents that hosts must refuse.
func (p *Platform) Publish(key string, version uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if versions := p.values[key]; len(versions) > 0 {
		close(versions[len(versions)-1].changed)
	}
	p.values[key] = append(p.values[key], &value{data: data, version: version, changed: make(chan struct{}),
		gzip: sync.OnceValue(func() []byte { return compress(data) })})
}

func compress(data []byte) []byte {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(data)
	_ = w.Close() // writes to a buffer do not fail
	return compressed.Bytes()
}

// PublishJSON publishes the JSON encoding of a Go value.
func (p *Platform) PublishJSON(key string, version uint64, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	p.Publish(key, version, data)
	return nil
}

// get returns the newest version of a value that a reader may see, nil if there is
// none, and a channel that is closed when the next version is published, nil if no version
// was published yet.
func (p *Platform) get(key, reader string) (v *value, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, published := range p.values[key] {
		if limit := p.maxVersions[reader]; limit == 0 || published.version <= limit {
			v = published
		}
		changed = published.changed
	}
	return v, changed
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		v, changed := p.get(r.PathValue("key"), r.PathValue("reader"))
		switch {
		case p.down.Load():
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case v == nil:
			http.NotFound(w, r)
			return
		case v.version > after:
			p.answer(w, r, v)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer sends a value, compressed if the reader accepts gzip. The entity tag of the
// compressed form is weak, because a strong one identifies the exact bytes.
func (p *Platform) answer(w http.ResponseWriter, r *http.Request, v *value) {
	tag, data := fmt.Sprintf("%q", strconv.FormatUint(v.version, 10)), v.data
	w.Header().Set("Vary", "Accept-Encoding")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") && !p.uncompressed.Load() {
		tag, data = "W/"+tag, v.gzip()
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("ETag", tag)
	_, _ = w.Write(data)
}

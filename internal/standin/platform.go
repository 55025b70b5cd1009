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

// Platform stands in for the configuration service and the host list. Values
// can be read and watched over HTTP; only the test that owns it publishes.
type Platform struct {
	server *http.Server
	base   string // URL without a path
	reads  atomic.Int64
	down   atomic.Bool
	plain  atomic.Bool // no content coding is offered

	mu     sync.Mutex
	values map[string][]*value // every published version, oldest first
	stale  map[string]uint64   // by reader: the highest version it gets
}

type value struct {
	data    []byte
	version uint64
	changed chan struct{} // closed when a newer version was published
	gzip    func() []byte // data with the content coding gzip
}

// NewPlatform starts the stand-in on a loopback port.
func NewPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{base: "http://" + listener.Addr().String(), values: map[string][]*value{}, stale: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.serve)
	mux.HandleFunc("GET /v1/readers/{reader}/values/{key}", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Close stops the stand-in.
func (p *Platform) Close() { _ = p.server.Close() }

// URL returns the address of a value.
func (p *Platform) URL(key string) string { return p.base + "/v1/values/" + key }

// ReaderURL returns the address of a value for one reader, whose answers can be
// made stale.
func (p *Platform) ReaderURL(reader, key string) string {
	return p.base + "/v1/readers/" + reader + "/values/" + key
}

// SetMaxVersion lets a reader get no version of any value above one; 0 ends it. The
// reader's calls that already wait notice at the next publication.
func (p *Platform) SetMaxVersion(reader string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[reader] = version
}

// Reads returns the number of calls so far; a waiting watch counts as one.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// SetDown makes every call fail while down.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// SetUncompressed makes the service answer without a content coding.
func (p *Platform) SetUncompressed(plain bool) { p.plain.Store(plain) }

// Publish sets a value and wakes its watches. It takes any bytes, so that tests
// can publish documents that hosts must refuse.
func (p *Platform) Publish(key string, version uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.values[key]; len(old) > 0 {
		close(old[len(old)-1].changed)
	}
	p.values[key] = append(p.values[key], &value{data: data, version: version, changed: make(chan struct{}),
		gzip: sync.OnceValue(func() []byte { return compress(data) })})
}

func compress(data []byte) []byte {
	var coded bytes.Buffer
	w := gzip.NewWriter(&coded)
	_, _ = w.Write(data)
	_ = w.Close() // a buffer takes every write
	return coded.Bytes()
}

// PublishJSON sets a value from a Go value.
func (p *Platform) PublishJSON(key string, version uint64, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	p.Publish(key, version, data)
	return nil
}

// get returns the newest value that a reader gets, and a channel that is closed
// at the next publication.
func (p *Platform) get(key, reader string) (v *value, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, published := range p.values[key] {
		if limit := p.stale[reader]; limit == 0 || published.version <= limit {
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

// answer sends a value, compressed if the reader accepts that. The entity tag of
// the compressed form is weak, because a strong one names exact bytes.
func (p *Platform) answer(w http.ResponseWriter, r *http.Request, v *value) {
	tag, data := fmt.Sprintf("%q", strconv.FormatUint(v.version, 10)), v.data
	w.Header().Set("Vary", "Accept-Encoding")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") && !p.plain.Load() {
		tag, data = "W/"+tag, v.gzip()
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set("ETag", tag)
	_, _ = w.Write(data)
}

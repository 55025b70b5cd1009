package platform_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/internal/standin"
)

// Guards against a host that reads the document uncompressed for each change, which
// exceeds its budget of 4 KB/s with 6,800 targets, and against one that cannot read
// from a service without compression.
func TestReadsCompressed(t *testing.T) {
	service, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	document := []byte(strings.Repeat(`{"id":"g0-r0","slots":4},`, 4000))
	service.Publish("config", 7, document)
	read := func(plain bool) uint64 {
		t.Helper()
		service.SetUncompressed(plain)
		client := platform.NewClient(service.URL("config"))
		data, version, err := client.Get(context.Background(), 6, 0)
		if err != nil || version != 7 || !bytes.Equal(data, document) {
			t.Fatalf("got %d bytes of version %d (%v)", len(data), version, err)
		}
		return client.BytesRead()
	}
	if plain, compressed := read(true), read(false); plain < uint64(len(document)) || compressed*5 > plain {
		t.Errorf("received %d bytes uncompressed and %d compressed", plain, compressed)
	}
}

// Guards against a truncated or corrupt value that is accepted, a value that fills
// the memory, and a version that is not recognised in the entity tag of a compressed
// form.
func TestCompressedAnswers(t *testing.T) {
	compress := func(n int) []byte {
		var compressed bytes.Buffer
		w := gzip.NewWriter(&compressed)
		_, _ = w.Write(make([]byte, n))
		_ = w.Close()
		return compressed.Bytes()
	}
	complete := compress(1000)
	corrupt := bytes.Clone(complete)
	corrupt[len(corrupt)-8]++ // the checksum
	for name, c := range map[string]struct {
		tag  string
		body []byte
		ok   bool
	}{
		"weak tag":                {`W/"7"`, complete, true},
		"tag with content coding": {`"7-gzip"`, complete, true},
		"no version":              {`"seven"`, complete, false},
		"truncated":               {`"7"`, complete[:len(complete)-4], false},
		"wrong checksum":          {`"7"`, corrupt, false},
		"too large":               {`"7"`, compress(1<<20 + 1), false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			w.Header().Set("ETag", c.tag)
			_, _ = w.Write(c.body)
		}))
		data, version, err := platform.NewClient(server.URL).Get(context.Background(), 0, 0)
		server.Close()
		if ok := err == nil && version == 7 && len(data) == 1000; ok != c.ok || !ok && data != nil {
			t.Errorf("%s: got %d bytes of version %d (%v)", name, len(data), version, err)
		}
	}
}

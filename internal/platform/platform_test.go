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

// Guards against a host that reads the whole document for each change, which
// exceeds its budget of 4 KB/s at the scale target, and against one that cannot
// read a service without compression.
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
		service.SetPlain(plain)
		client := platform.NewClient(service.URL("config"))
		data, version, err := client.Get(context.Background(), 6, 0)
		if err != nil || version != 7 || !bytes.Equal(data, document) {
			t.Fatalf("got %d bytes of version %d (%v)", len(data), version, err)
		}
		return client.BytesRead()
	}
	if plain, coded := read(true), read(false); plain < uint64(len(document)) || coded*5 > plain {
		t.Errorf("received %d bytes plain and %d compressed", plain, coded)
	}
}

// Guards against a value that is taken in part or fills the memory, and against
// a service whose marks of the compressed form hide the version.
func TestCompressedAnswers(t *testing.T) {
	code := func(n int) []byte {
		var coded bytes.Buffer
		w := gzip.NewWriter(&coded)
		_, _ = w.Write(make([]byte, n))
		_ = w.Close()
		return coded.Bytes()
	}
	whole := code(1000)
	wrong := bytes.Clone(whole)
	wrong[len(wrong)-8]++ // the checksum
	for name, c := range map[string]struct {
		tag  string
		body []byte
		ok   bool
	}{
		"weak tag":        {`W/"7"`, whole, true},
		"tag with coding": {`"7-gzip"`, whole, true},
		"no version":      {`"seven"`, whole, false},
		"cut off":         {`"7"`, whole[:len(whole)-4], false},
		"wrong checksum":  {`"7"`, wrong, false},
		"too large":       {`"7"`, code(1<<20 + 1), false},
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

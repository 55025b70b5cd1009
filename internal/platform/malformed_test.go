package platform_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"github.com/lacewingyard/lacewingyard/internal/platform"
)

// Guards against a configuration that the service did not publish, and against "no newer version"
// from bytes that are no answer.
func TestMalformedAnswersAreNoValues(t *testing.T) {
	texts := answertest.Malformed("{}")
	texts["a space in an answer without a value"] = "HTTP/1.1 304 Not Modified\r\nX A: b\r\n\r\n"
	for fault, text := range texts {
		for _, closes := range []bool{false, true} {
			text := strings.Replace(text, "Content-Length", "ETag: \"7\"\r\nContent-Length", 1)
			server, err := answertest.NewServer(func(*http.Request) string { return text }, closes)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			data, version, err := platform.NewClient("http://"+server.Address()).Get(ctx, 0, 0)
			cancel()
			_ = server.Close()
			if !errors.Is(err, httpanswer.ErrMalformed) {
				t.Errorf("%s: got %q of version %d (%v)", fault, data, version, err)
			}
		}
	}
}

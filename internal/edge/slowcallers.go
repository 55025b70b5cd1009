package edge

import (
	"io"
	"net/http"
	"time"
)

const (
	// callerBodyTimeout bounds the time for reading the body of a caller's request.
	callerBodyTimeout = 10 * time.Second
	// callerAnswerTimeout bounds the time in which a caller takes an answer that is ready.
	callerAnswerTimeout = 10 * time.Second
)

// limitSlowCallers ends the connections of callers that send a body or take an answer
// too slowly: each of them holds a goroutine and the bytes until then. The server's own
// timeouts do not fit, because they also run while a request waits for its targets.
func limitSlowCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		if r.ContentLength != 0 {
			_ = c.SetReadDeadline(time.Now().Add(callerBodyTimeout))
			r.Body = &timedBody{ReadCloser: r.Body, connection: c}
		}
		next.ServeHTTP(&timedWriter{ResponseWriter: w, connection: c}, r)
	})
}

// timedBody removes the deadline of a body at its end, because the deadline would
// count as a caller that has left.
type timedBody struct {
	io.ReadCloser
	connection *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.connection.SetReadDeadline(time.Time{})
	}
	return n, err
}

// timedWriter sets the deadline of an answer when its head is written.
type timedWriter struct {
	http.ResponseWriter
	connection *http.ResponseController
	begun      bool
}

func (w *timedWriter) begin() {
	if !w.begun {
		w.begun = true
		_ = w.connection.SetWriteDeadline(time.Now().Add(callerAnswerTimeout))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *timedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

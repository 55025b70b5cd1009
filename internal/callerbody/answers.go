package callerbody

import (
	"net/http"
	"time"
)

// AnswerTimeout bounds the time in which a caller takes an answer that is ready.
const AnswerTimeout = 10 * time.Second

// LimitSlowAnswers ends the connections of callers that take an answer too slowly: each of them
// holds a goroutine and the bytes until then. The server's own timeout does not fit, because it
// also runs while a request waits for its targets.
func LimitSlowAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&timedWriter{ResponseWriter: w, connection: http.NewResponseController(w)}, r)
	})
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
		_ = w.connection.SetWriteDeadline(time.Now().Add(AnswerTimeout))
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

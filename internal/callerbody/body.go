package callerbody

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// progressWindow is the time in which a body must bring progressBytes or its end: 1 KB a
	// second. The slowest links of callers inside the limits carry several times as much, and
	// the window covers three retransmissions in a row.
	progressWindow = 5 * time.Second
	progressBytes  = 5 << 10
	// bodyTimeout bounds the time for reading a whole body.
	bodyTimeout = 10 * time.Second
	// renewInterval is the least time between two changes of the deadline, so that a body that
	// arrives fast sets it once.
	renewInterval = time.Second
	// firstBytes is the first buffer of a body of unknown or greater length. What follows is read
	// into pieces of pieceBytes until the length is known.
	firstBytes = 4 << 10
	pieceBytes = 16 << 10
	// requestBytes is what a request with a body takes without it: the reader, its buffers and
	// the state of the chunked encoding.
	requestBytes = 2 << 10
)

// deadlines sets the read deadline of a connection.
type deadlines interface{ SetReadDeadline(t time.Time) error }

// body is the body of a caller's request.
type body struct {
	io.ReadCloser
	conn  deadlines
	hold  Hold
	began time.Time

	mu     sync.Mutex
	cut    error // why the reading ends before the end of the body; nil if it does not
	ended  bool
	window time.Time // begin of the window
	read   int       // bytes read in the window
}

func newBody(b *Budget, r io.ReadCloser, conn deadlines) *body {
	now := time.Now()
	s := &body{ReadCloser: r, conn: conn, began: now, window: now}
	b.Open(&s.hold, func() { s.end(ErrNoRoom) })
	_ = conn.SetReadDeadline(now.Add(progressWindow))
	return s
}

// end ends the reading of the body.
func (s *body) end(why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut == nil {
		s.cut = why
	}
	if !s.ended || errors.Is(why, os.ErrDeadlineExceeded) {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// Read implements io.Reader.
func (s *body) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.progress(n)
		return n, nil
	}
	s.ended = true
	switch {
	case errors.Is(err, io.EOF) && s.cut == nil:
		// The deadline would count as a caller that has left. After any other error it stays, so
		// that the server does not wait for the rest of the body.
		_ = s.conn.SetReadDeadline(time.Time{})
	case s.cut != nil:
		err = s.cut
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.hold.budget.tooSlow.Add(1)
		err = ErrTooSlow
	}
	return n, err
}

// progress renews the deadline once enough bytes have arrived.
func (s *body) progress(n int) {
	s.read += n
	if s.read < progressBytes || s.cut != nil {
		return
	}
	now := time.Now()
	if now.Sub(s.window) < renewInterval {
		return
	}
	s.window, s.read = now, 0
	deadline := now.Add(progressWindow)
	if last := s.began.Add(bodyTimeout); last.Before(deadline) {
		deadline = last
	}
	_ = s.conn.SetReadDeadline(deadline)
}

// Cut ends the reading of a request's body; Read then returns why. Without a Budget it has no
// effect and returns false.
func Cut(r *http.Request, why error) bool {
	s, ok := r.Body.(*body)
	if ok {
		s.end(why)
	}
	return ok
}

// Read reads the body of a request of at most maxBytes bytes, 0 for any number, and charges the
// budget with what has arrived. Its errors are ErrNoRoom, ErrTooSlow, a *http.MaxBytesError, the
// reason of Cut, or that of the connection. A request whose body was read is not given up any more.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	s, _ := r.Body.(*body)
	in := io.Reader(r.Body)
	if maxBytes > 0 {
		in = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	length := r.ContentLength
	if maxBytes > 0 && length > maxBytes {
		length = -1
	}
	var hold *Hold
	if s != nil {
		hold = &s.hold
	}
	reading := reader{in: in, hold: hold}
	data, err := reading.all(length)
	reading.recycle()
	if err == nil && hold != nil && !hold.PassOn() {
		err = ErrNoRoom
	}
	if errors.Is(err, ErrNoRoom) && s != nil {
		s.end(ErrNoRoom)
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}

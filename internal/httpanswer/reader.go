package httpanswer

import (
	"bufio"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of an answer, with the interim answers before it. Parsed,
// many short header lines take about twenty times their length.
const MaxHeadBytes = 32 << 10

// maxKeptBytes bounds the memory for a head that a connection keeps for the next one.
const maxKeptBytes = 4 << 10

// ErrTooLarge is the error of an answer whose head is longer than MaxHeadBytes.
var ErrTooLarge = errors.New("answer head exceeds the size limit")

// Reader reads answers from a connection. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
	in *source
}

// NewReader returns a Reader with a buffer of at least size bytes.
func NewReader(r io.Reader, size int) *Reader {
	in := &source{r: r, left: math.MaxInt64}
	return &Reader{Reader: bufio.NewReaderSize(in, size), in: in}
}

// ReadAnswer reads the head of the answer to a request and skips interim (1xx) answers
// before it. Of the request only the method counts. The body is read from the result. The
// error is an ErrMalformed if the bytes are no answer, and ErrTooLarge if the head is too long.
// Reading a body in chunks also returns an ErrMalformed.
func (r *Reader) ReadAnswer(req *http.Request) (*http.Response, error) {
	r.in.begin()
	defer r.in.end()
	for {
		buffered, _ := r.Peek(r.Buffered()) // never fails
		r.in.record(buffered)
		resp, err := http.ReadResponse(r.Reader, req)
		switch {
		case err != nil && r.in.exceeded: // the parser may report that the last line is malformed instead
			return nil, ErrTooLarge
		case err != nil:
			return nil, r.in.cause(err)
		}
		_, rest, err := checkHead(r.in.recorded[:len(r.in.recorded)-r.Buffered()])
		switch {
		case err != nil:
			return nil, err
		case len(rest) > 0:
			return nil, malformed("head with two ends")
		}
		if resp.StatusCode >= http.StatusOK {
			return withTrailerCheck(resp, r.in), nil
		}
	}
}

// source is the connection of a Reader. While a head is read, it keeps the bytes, because
// the parser of net/http drops what it cannot use.
type source struct {
	r        io.Reader
	left     int64 // bytes that may be read
	exceeded bool
	failed   bool   // a read returned an error
	heads    bool   // heads are being read
	recorded []byte // of the current head, and what was read beyond it
}

// begin bounds the following reads to MaxHeadBytes.
func (s *source) begin() { s.left, s.exceeded, s.failed, s.heads = MaxHeadBytes, false, false, true }

// record begins to keep the bytes of a head, of which some are buffered already.
func (s *source) record(buffered []byte) { s.recorded = append(s.recorded[:0], buffered...) }

// end removes the bound and keeps no more bytes.
func (s *source) end() {
	s.left, s.heads = math.MaxInt64, false
	if cap(s.recorded) > maxKeptBytes {
		s.recorded = nil
	}
}

// cause returns err, the error of a parser, as an ErrMalformed unless a read failed.
func (s *source) cause(err error) error {
	if s.failed {
		return err
	}
	return malformed("%v", err)
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.failed = s.failed || err != nil
	if s.heads {
		s.recorded = append(s.recorded, p[:n]...)
	}
	return n, err
}

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
// before it. Of the request only the method counts. The body is read from the result.
func (r *Reader) ReadAnswer(req *http.Request) (*http.Response, error) {
	r.in.begin()
	defer r.in.end()
	for {
		resp, err := http.ReadResponse(r.Reader, req)
		switch {
		case err != nil && r.in.exceeded: // the parser may report that the last line is malformed instead
			return nil, ErrTooLarge
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

// source is the connection of a Reader.
type source struct {
	r        io.Reader
	left     int64 // bytes that may be read
	exceeded bool
}

// begin bounds the following reads to MaxHeadBytes.
func (s *source) begin() { s.left, s.exceeded = MaxHeadBytes, false }

// end removes the bound.
func (s *source) end() { s.left = math.MaxInt64 }

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}

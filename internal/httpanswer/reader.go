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
// before it. Of the request only the method counts. The body is read from the result. The
// error is an ErrMalformed if the bytes are no answer, and ErrTooLarge if the head is too long.
// Reading a body in chunks also returns an ErrMalformed.
func (r *Reader) ReadAnswer(req *http.Request) (*http.Response, error) {
	buffered, _ := r.Peek(r.Buffered()) // never fails
	r.in.begin(buffered)
	defer r.in.end()
	for {
		resp, err := http.ReadResponse(r.Reader, req)
		switch {
		case r.in.head.err != nil:
			return nil, r.in.head.err
		case err != nil && r.in.exceeded: // the parser may report that the last line is malformed instead
			return nil, ErrTooLarge
		case err != nil:
			return nil, r.in.cause(err)
		case resp.StatusCode < http.StatusOK:
			continue
		}
		if err := r.in.head.result(); err != nil {
			return nil, err
		}
		return withTrailerCheck(resp, r.in), nil
	}
}

// source is the connection of a Reader.
type source struct {
	r        io.Reader
	left     int64 // bytes that may be read
	exceeded bool
	failed   bool // a read returned an error
	inHeads  bool // heads are being read
	head     headScanner
}

// begin bounds the following reads to MaxHeadBytes, and checks them after the bytes that are
// buffered already.
func (s *source) begin(buffered []byte) {
	s.left, s.exceeded, s.failed, s.inHeads = MaxHeadBytes, false, false, true
	s.head.reset()
	s.head.scan(buffered)
}

// end removes the bound.
func (s *source) end() { s.left, s.inHeads = math.MaxInt64, false }

// cause returns err, the error of a parser, as an ErrMalformed unless a read failed.
func (s *source) cause(err error) error {
	if s.failed {
		return err
	}
	return malformed("%v", err)
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	switch {
	case s.inHeads && s.head.err != nil:
		return 0, s.head.err
	case s.left <= 0:
		s.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.failed = s.failed || err != nil
	if s.inHeads {
		s.head.scan(p[:n])
	}
	return n, err
}

// Package headlimit bounds the bytes that the parser of net/http reads of the head of
// an answer. http.ReadResponse has no bound of its own: a head without an end would be
// held in memory until the connection ends.
package headlimit

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// Bytes bounds a head. Parsed, many short header lines take about twenty times their
// length.
const Bytes = 32 << 10

// ErrTooLarge is the error of a read beyond the bound.
var ErrTooLarge = errors.New("answer head exceeds the size limit")

// Reader reads from a connection. It is not safe for concurrent use.
type Reader struct {
	r        io.Reader
	left     int64
	exceeded bool
}

// NewReader returns a Reader without a bound.
func NewReader(r io.Reader) *Reader { return &Reader{r: r, left: math.MaxInt64} }

// Begin bounds the following reads to Bytes.
func (r *Reader) Begin() { r.left, r.exceeded = Bytes, false }

// End removes the bound. It returns ErrTooLarge if the bound was exceeded, and otherwise
// err, the error of the parser: the parser may report that the last line is malformed
// instead.
func (r *Reader) End(err error) error {
	r.left = math.MaxInt64
	if err != nil && r.exceeded {
		return ErrTooLarge
	}
	return err
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		r.exceeded = true
		return 0, ErrTooLarge
	}
	n, err := r.r.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

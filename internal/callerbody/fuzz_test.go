package callerbody

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// noConn is a connection without deadlines.
type noConn struct{}

func (noConn) SetReadDeadline(time.Time) error { return nil }

// chunks returns data in chunks whose lengths the bytes of sizes give, and then an error.
type chunks struct {
	data  []byte
	sizes []byte
	next  int
	end   error
}

func (c *chunks) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, c.end
	}
	size := 1
	if len(c.sizes) > 0 {
		size = 1 + int(c.sizes[c.next%len(c.sizes)])*64
		c.next++
	}
	n := copy(p, c.data[:min(size, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

// FuzzRead guards against bodies that are changed, cut without an error or charged for after their
// end, however they arrive and wherever they are cut.
func FuzzRead(f *testing.F) {
	for _, length := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, firstBytes + pieceBytes, firstBytes + pieceBytes + 1, 256 << 10} {
		f.Add(length, []byte{0, 255, 3}, true, math.MaxInt, 256<<10, 4<<20)
		f.Add(length, []byte{255}, false, length/2, 256<<10, 4<<20)
	}
	f.Add(256<<10, []byte{200}, true, math.MaxInt, 64<<10, 4<<20) // too large
	f.Add(256<<10, []byte{200}, true, math.MaxInt, 0, 64<<10)     // no room
	f.Fuzz(func(t *testing.T, length int, sizes []byte, stated bool, cutAt, maxBytes, room int) {
		if length < 0 || length > 1<<20 || maxBytes < 0 || room < 0 {
			return
		}
		want := make([]byte, length)
		for i := range want {
			want[i] = byte(i * 7 / 3)
		}
		in := &chunks{data: want, sizes: sizes, end: io.EOF}
		cut := cutAt >= 0 && cutAt < length
		if cut {
			in.data, in.end = want[:cutAt], io.ErrUnexpectedEOF
		}
		b := NewBudget(int64(room), hclog.NewNullLogger())
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.ContentLength = -1
		if stated {
			r.ContentLength = int64(length)
		}
		s := newBody(b, io.NopCloser(in), noConn{})
		r.Body = s
		got, err := Read(httptest.NewRecorder(), r, int64(maxBytes))
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil && (cut || !bytes.Equal(got, want)):
			t.Fatalf("%d bytes read of %d, cut %t", len(got), length, cut)
		case err == nil && maxBytes > 0 && length > maxBytes, err == nil && len(got) > room:
			t.Fatalf("%d bytes read, maximum %d, room %d", len(got), maxBytes, room)
		case err == nil:
		case errors.As(err, &tooLarge):
			if maxBytes == 0 || length <= maxBytes {
				t.Fatalf("%d bytes are too many for %d", length, maxBytes)
			}
		case errors.Is(err, ErrNoRoom):
			if int64(room) > 4*int64(length)+4*(firstBytes+pieceBytes) {
				t.Fatalf("no room for %d bytes in %d", length, room)
			}
		case !cut:
			t.Fatal(err)
		}
		s.hold.Release()
		if use := b.Use(); use.Used != 0 || use.Reading != 0 {
			t.Fatalf("left in use: %+v", use)
		}
	})
}

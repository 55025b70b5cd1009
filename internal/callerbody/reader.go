package callerbody

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// reader reads one body into pieces. A body that is given up leaves no garbage: its pieces are used
// for others. With buffers that grow, garbage took half of a host's memory.
type reader struct {
	in     io.Reader
	hold   *Hold // nil for none
	first  []byte
	pieces [][]byte
}

// all reads to the end of a body. A length of -1 is unknown.
func (r *reader) all(length int64) ([]byte, error) {
	size := firstBytes
	if length >= 0 && length < firstBytes {
		size = int(length) + 1 // the end is read without another buffer
	}
	if !r.grow(size) {
		return nil, ErrNoRoom
	}
	r.first = make([]byte, size)
	n, err := r.fill(r.first)
	if err != nil {
		return ended(r.first[:n], err)
	}
	total, held := size, size
	for {
		held += pieceBytes
		if !r.grow(held) {
			return nil, ErrNoRoom
		}
		piece := r.hold.piece()
		r.pieces = append(r.pieces, piece)
		n, err := r.fill(piece)
		total += n
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return nil, err
		}
		if !r.grow(held + total) {
			return nil, ErrNoRoom
		}
		data := make([]byte, 0, total)
		data = append(data, r.first...)
		for _, p := range r.pieces {
			data = append(data, p[:min(len(p), total-len(data))]...)
		}
		r.recycle()
		if !r.grow(total) {
			return nil, ErrNoRoom
		}
		return data, nil
	}
}

// ended returns what was read up to the end of the body, or the error before it.
func ended(data []byte, err error) ([]byte, error) {
	if errors.Is(err, io.EOF) {
		return data, nil
	}
	return nil, err
}

// fill reads until the buffer is full, or returns what was read before an error.
func (r *reader) fill(buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = r.in.Read(buffer[n:])
		n += m
	}
	if n == len(buffer) && errors.Is(err, io.EOF) {
		err = nil // the next read returns it again
	}
	return n, err
}

func (r *reader) grow(size int) bool { return r.hold == nil || r.hold.Grow(requestBytes+int64(size)) }

// recycle gives the pieces back.
func (r *reader) recycle() {
	if r.hold != nil {
		r.hold.budget.pieces.put(r.pieces)
	}
	r.pieces = nil
}

// piece returns a buffer of pieceBytes.
func (h *Hold) piece() []byte {
	if h == nil {
		return make([]byte, pieceBytes)
	}
	return h.budget.pieces.get()
}

// pieces are buffers that are not in use.
type pieces struct {
	mu   sync.Mutex
	free [][]byte
	max  int
}

func (p *pieces) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		piece := p.free[n-1]
		p.free[n-1] = nil
		p.free = p.free[:n-1]
		return piece
	}
	return make([]byte, pieceBytes)
}

func (p *pieces) put(used [][]byte) {
	if len(used) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, used[:min(len(used), max(p.max-len(p.free), 0))]...)
}

// trim frees half of the buffers, so that those of a past shortage do not stay.
func (p *pieces) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := len(p.free) / 2
	clear(p.free[keep:])
	p.free = p.free[:keep]
}

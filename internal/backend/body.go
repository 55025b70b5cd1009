package backend

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

const (
	// maxBodyBytes bounds the body of an answer.
	maxBodyBytes = 8 << 20
	// freeBodyBytes is the length up to which a body takes no room of Bodies. Usual
	// answers are far shorter.
	freeBodyBytes = 64 << 10
	// firstBodyBytes is the first buffer of a body whose length is not stated.
	firstBodyBytes = 2 << 10
	// defaultBodiesBytes bounds the memory for large bodies if the memory of the
	// process is not limited.
	defaultBodiesBytes = 64 << 20
	// bodiesDivisor divides the memory limit of the process into the memory for large
	// bodies. While a body grows, up to three times its length is in use.
	bodiesDivisor = 8
)

var (
	errBodyTooLarge = errors.New("answer body exceeds the size limit")
	errGivenUp      = errors.New("answer was given up for others: it was the largest one while memory was short")
	errNoMemory     = errors.New("large answers use all memory that this host may use for them")
)

// Bodies bounds the memory for large bodies of answers, over all connections of a host.
// It is safe for concurrent use.
type Bodies struct {
	mu    sync.Mutex
	bytes *limit.Bytes
}

// NewBodies returns Bodies for a process with a memory limit in bytes, 0 if there is
// none.
func NewBodies(memoryLimit int64) *Bodies {
	size := int64(defaultBodiesBytes)
	if memoryLimit > 0 {
		size = memoryLimit / bodiesDivisor
	}
	return &Bodies{bytes: limit.NewBytes(size)}
}

// Used returns the bytes in use for large bodies.
func (b *Bodies) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Used()
}

// Hold is the room of a large body.
type Hold struct {
	bodies  *Bodies
	room    *limit.Hold
	givenUp atomic.Bool
}

// grow makes room for a body of size bytes. It returns false if there is none.
func (h *Hold) grow(size int64) bool {
	h.bodies.mu.Lock()
	defer h.bodies.mu.Unlock()
	return h.bodies.bytes.Grow(h.room, size)
}

// complete marks the body as read completely.
func (h *Hold) complete() {
	if h == nil {
		return
	}
	h.bodies.mu.Lock()
	defer h.bodies.mu.Unlock()
	h.bodies.bytes.Complete(h.room)
}

// release frees the room.
func (h *Hold) release() {
	if h == nil {
		return
	}
	h.bodies.mu.Lock()
	defer h.bodies.mu.Unlock()
	h.bodies.bytes.Release(h.room)
}

// bodyReader reads the body of one answer.
type bodyReader struct {
	conn    *conn
	resp    *http.Response
	bodies  *Bodies
	compact func([]byte) []byte // nil if the whole body is needed
	hold    *Hold               // nil up to freeBodyBytes
	bytes   []byte
}

// read reads the body. It returns an error if the body ends early or reaches
// maxBodyBytes without a stated length, or if there is no memory for it. The buffer grows as bytes arrive: the
// stated length is no reason to allocate it.
func (b *bodyReader) read() error {
	first := int64(firstBodyBytes)
	if n := b.resp.ContentLength; n >= 0 {
		if n > maxBodyBytes {
			return errBodyTooLarge
		}
		first = min(n, freeBodyBytes)
	}
	b.bytes = make([]byte, 0, first)
	for length := int64(0); length != b.resp.ContentLength; {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.makeRoom(); err != nil {
				return err
			}
		}
		n, err := b.resp.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if length += int64(n); length > maxBodyBytes {
			return errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return b.cause(err)
		}
	}
	b.hold.complete()
	return nil
}

// cause returns errGivenUp if that is the reason for which the read ended with err.
func (b *bodyReader) cause(err error) error {
	if b.hold != nil && b.hold.givenUp.Load() {
		return errGivenUp
	}
	return err
}

// makeRoom compacts the bytes read so far, if that frees half of the buffer, or else
// doubles the buffer.
func (b *bodyReader) makeRoom() error {
	if b.compact != nil && cap(b.bytes) >= freeBodyBytes {
		b.bytes = append(b.bytes[:0], b.compact(b.bytes)...)
		if len(b.bytes) <= cap(b.bytes)/2 {
			return nil
		}
	}
	if cap(b.bytes) >= maxBodyBytes {
		return errBodyTooLarge
	}
	size := min(2*cap(b.bytes), maxBodyBytes)
	if size > freeBodyBytes {
		if b.hold == nil {
			b.hold = b.bodies.open(b.conn.abortRead)
		}
		if !b.hold.grow(int64(size)) {
			return b.cause(errNoMemory)
		}
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

// open returns the room of a new body. abort ends the read of the body if it is in
// progress.
func (b *Bodies) open(abort func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{bodies: b}
	h.room = b.bytes.Open(func() {
		h.givenUp.Store(true)
		abort()
	})
	return h
}

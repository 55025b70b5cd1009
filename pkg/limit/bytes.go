package limit

// Bytes bounds the memory that a host holds for large answers of its targets at the
// same time. If the limit is reached, the largest answer that is still being read is
// given up, not the one that needs the next bytes: a target that sends without end
// holds the most, and must not take the room of the others.
//
// It answers a load of few oversized answers among many of the usual size. Bytes is not
// safe for concurrent use.
type Bytes struct {
	limit int64
	used  int64
	open  map[*Hold]struct{} // answers that are still being read
}

// Hold is the room of one answer.
type Hold struct {
	size   int64
	giveUp func() // stops the read of the answer
}

// NewBytes returns a Bytes of limit bytes in total.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit, open: map[*Hold]struct{}{}} }

// Open returns the room of a new answer, which is empty. giveUp is called by Grow at
// most once, if the answer has to be given up; it must not call the Bytes.
func (b *Bytes) Open(giveUp func()) *Hold {
	h := &Hold{giveUp: giveUp}
	b.open[h] = struct{}{}
	return h
}

// Grow sets the size of an answer that is being read to more bytes than before. It
// returns false if there is no room, or if the answer has been given up. Answers that
// were given up count no longer, although their memory is freed a moment later.
func (b *Bytes) Grow(h *Hold, size int64) bool {
	if _, ok := b.open[h]; !ok {
		return false
	}
	for b.used+size-h.size > b.limit {
		largest := h
		largestSize := size
		for o := range b.open {
			if o != h && o.size >= largestSize {
				largest, largestSize = o, o.size
			}
		}
		if largest == h {
			return false
		}
		b.Release(largest)
		largest.giveUp()
	}
	b.used += size - h.size
	h.size = size
	return true
}

// Complete marks an answer as read completely. It keeps its room until Release and is
// not given up any more.
func (b *Bytes) Complete(h *Hold) { delete(b.open, h) }

// Release frees the room of an answer. Further calls have no effect.
func (b *Bytes) Release(h *Hold) {
	delete(b.open, h)
	b.used -= h.size
	h.size = 0
}

// Used returns the bytes in use.
func (b *Bytes) Used() int64 { return b.used }

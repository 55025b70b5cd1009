package limit

import "time"

const (
	// SmallRequestBytes is the size up to which a request counts as small. The usual request
	// is far smaller.
	SmallRequestBytes = 16 << 10
	// smallShareDivisor divides the budget into the part that only small requests may use.
	smallShareDivisor = 4
	// minRequestAge keeps the size of a request in its cost when it has just begun.
	minRequestAge = time.Millisecond
)

// CallerBytes bounds the memory that callers hold at the same time with requests that are being
// read or wait for their answers. When it is short, the request with the largest product of size
// and age goes among those that are still being read: it has cost the host most for the least
// progress. A request that was passed on is never given up.
//
// It answers a load of many bodies of legal size that never end. CallerBytes is not safe for
// concurrent use.
type CallerBytes struct {
	limit   int64
	used    int64
	reading map[*CallerHold]struct{}
	givenUp int64
	refused int64
}

// CallerHold is the room of one request.
type CallerHold struct {
	size   int64
	began  time.Time
	giveUp func()
}

// NewCallerBytes returns a CallerBytes of limit bytes in total.
func NewCallerBytes(limit int64) *CallerBytes {
	return &CallerBytes{limit: limit, reading: map[*CallerHold]struct{}{}}
}

// Open makes h the room of a request whose reading begins. giveUp is called at most once, if the
// request has to be given up; it must not call the CallerBytes.
func (b *CallerBytes) Open(h *CallerHold, now time.Time, giveUp func()) {
	*h = CallerHold{began: now, giveUp: giveUp}
	b.reading[h] = struct{}{}
}

// Grow sets the room of a request that is being read to size, which is what has arrived with its
// overhead. It gives up others to make room. It returns false if there is none or if the
// request itself is the one to give up; the request then has no room any more.
func (b *CallerBytes) Grow(now time.Time, h *CallerHold, size int64) bool {
	if _, ok := b.reading[h]; !ok {
		return false
	}
	room := b.limit
	if size > SmallRequestBytes {
		room -= b.limit / smallShareDivisor
	}
	for b.used+size-h.size > room {
		costliest, cost := h, costOf(now, h, size)
		for o := range b.reading {
			// Without room nothing is gained.
			if c := costOf(now, o, o.size); o != h && o.size > 0 && c > cost {
				costliest, cost = o, c
			}
		}
		if costliest == h {
			b.refused++
			b.Release(h)
			return false
		}
		b.givenUp++
		b.Release(costliest)
		costliest.giveUp()
	}
	b.used += size - h.size
	h.size = size
	return true
}

// costOf returns the product of a request's size and age.
func costOf(now time.Time, h *CallerHold, size int64) float64 {
	return float64(size) * max(now.Sub(h.began), minRequestAge).Seconds()
}

// PassOn marks a request as read whole. It keeps its room until Release and is not given up any
// more. It returns false if the request was given up before.
func (b *CallerBytes) PassOn(h *CallerHold) bool {
	_, ok := b.reading[h]
	delete(b.reading, h)
	return ok
}

// Release frees the room of a request. Further calls have no effect.
func (b *CallerBytes) Release(h *CallerHold) {
	delete(b.reading, h)
	b.used -= h.size
	h.size = 0
}

// CallerUse describes the use of a CallerBytes.
type CallerUse struct {
	Limit   int64
	Used    int64
	Reading int   // requests that are being read
	GivenUp int64 // requests given up for others, since the start
	Refused int64 // requests that found no room, since the start
}

// Use returns the present use.
func (b *CallerBytes) Use() CallerUse {
	return CallerUse{Limit: b.limit, Used: b.used, Reading: len(b.reading), GivenUp: b.givenUp, Refused: b.refused}
}

package balance

import "time"

const (
	// windowUsed is the fraction of the requests outstanding at a refusal that a target
	// gets from this host afterwards.
	windowUsed = 0.7
	// windowGrowth is the growth of the window with each answer while the window is
	// filled, relative to its size; a further request is added each time the window has
	// been answered once.
	windowGrowth = 0.05
	// refusalsInRound is the time after a refusal in which further ones are of the same
	// full queue and do not shrink the window again.
	refusalsInRound = 20 * time.Millisecond
	// windowDelayed is the fraction of the window that is left after a delayed answer, and
	// delaysInRound the time in which further ones were in the same queue.
	windowDelayed = 0.8
	delaysInRound = 60 * time.Millisecond
	// windowLifetime is the time without a refusal after which there is no window.
	windowLifetime = 3 * time.Second
)

// window is the number of requests that a target took from this host without refusing
// one. Targets queue a few requests and refuse further ones. A refusal takes a token of
// the retry budget and says nothing about the other targets of the service, so the next
// requests wait on this host for a place in the window, or are refused before anything is
// sent, instead of trying a queue that is known to be full.
//
// It answers a burst over the capacity of a service, and a service that lost most of its
// targets. Each host has a window of its own; together they follow what the target takes.
type window struct {
	size   float64   // at least 1; not in force if shrunk is zero
	shrunk time.Time // the last time at which the window shrank
}

// refused shrinks the window after a refusal with the given number of requests
// outstanding, the refused one included.
func (w *window) refused(now time.Time, outstanding int) {
	if w.inForce(now) && now.Sub(w.shrunk) < refusalsInRound {
		return
	}
	if !w.inForce(now) || float64(outstanding) < w.size {
		w.size = float64(outstanding)
	}
	w.size = max(1, windowUsed*w.size)
	w.shrunk = now
}

// delayed shrinks a window in force after an answer that came so late that the next
// ones would miss their objective: the queue of the target is too long, though not full.
func (w *window) delayed(now time.Time) {
	if w.inForce(now) && now.Sub(w.shrunk) >= delaysInRound {
		w.size = max(1, windowDelayed*w.size)
		w.shrunk = now
	}
}

// answered grows the window after an answer if it was filled.
func (w *window) answered(outstanding int) {
	if float64(outstanding) >= w.size-1 {
		w.size += 1/w.size + windowGrowth*w.size
	}
}

// inForce reports whether the target refused a request lately.
func (w *window) inForce(now time.Time) bool {
	return !w.shrunk.IsZero() && now.Sub(w.shrunk) < windowLifetime
}

// Delayed records that an answer, which is recorded by Answered as well, came late for
// its objective.
func (t *Target) Delayed(now time.Time) { t.window.delayed(now) }

// Full reports whether the target has as many requests of this host outstanding as it
// took lately without refusing one.
func (t *Target) Full(now time.Time) bool {
	return t.window.inForce(now) && t.outstanding > 0 && float64(t.outstanding) >= t.window.size
}

// FullFor is Full for requests that may use only a part of the window, 0 to 1, but always one
// request.
func (t *Target) FullFor(now time.Time, part float64) bool {
	return t.window.inForce(now) && t.outstanding > 0 && float64(t.outstanding) >= max(1, part*t.window.size)
}

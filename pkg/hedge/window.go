package hedge

import "time"

// windowSlots is the resolution of a Window.
const windowSlots = 20

// countedShare is the part of a host's first sends that surely counts for the
// limit: probes of single hosts, a few in a hundred, may not.
const countedShare = 0.95

// WindowBudget limits the extra sends to one service in every sliding window of time:
// at most a ratio of this host's first sends plus a fixed part of the slack that
// all hosts share. Hosts need not talk: each counts what it sent itself, and the
// parts of the slack add up to no more than the whole.
//
// It guards against retries that amplify an outage of the service.
type WindowBudget struct {
	slot   time.Duration
	origin time.Time
	last   int64
	first  [windowSlots + 1]float64
	extra  [windowSlots + 1]float64
}

// NewWindowBudget returns a window of the given length.
func NewWindowBudget(length time.Duration) *WindowBudget {
	return &WindowBudget{slot: length / windowSlots}
}

// advance clears the slots that left the window.
func (w *WindowBudget) advance(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	current := int64(now.Sub(w.origin) / w.slot)
	for w.last < current {
		w.last = max(w.last+1, current-windowSlots)
		w.first[w.last%(windowSlots+1)] = 0
		w.extra[w.last%(windowSlots+1)] = 0
	}
	return int(w.last % (windowSlots + 1))
}

// FirstSend records the first send of a request.
func (w *WindowBudget) FirstSend(now time.Time) { w.first[w.advance(now)]++ }

// Left returns the number of extra sends that the window allows now. The slots
// reach up to one slot beyond the window, so the first sends of the oldest one
// are left out, and its extra sends are counted.
func (w *WindowBudget) Left(now time.Time, ratio, slack float64) float64 {
	oldest := (w.advance(now) + 1) % len(w.first)
	allowed := slack
	for i := range w.first {
		allowed -= w.extra[i]
		if i != oldest {
			allowed += countedShare * ratio * w.first[i]
		}
	}
	return allowed
}

// TryExtra counts an extra send if the window allows one beyond reserve.
func (w *WindowBudget) TryExtra(now time.Time, ratio, slack, reserve float64) bool {
	if w.Left(now, ratio, slack)-reserve < 1 {
		return false
	}
	w.extra[w.advance(now)]++
	return true
}

package standin

import (
	"slices"
	"time"
)

// A client cancels by closing a connection and may use the freed slot at once
// on another one, but the server notices the close later. A request that comes
// in between is no fault of the client.
const (
	// cancelWait is how long a request waits for such a notice before it is
	// refused. It is short beside the service times, so that clients which do
	// use too many slots are refused about as fast as by a real target.
	cancelWait = time.Millisecond
	cancelPoll = 100 * time.Microsecond
	// cancelLag is the time within which a notice still explains refusals. A
	// trace of 10 s at 150 % load on a busy machine had notices up to 32 ms
	// late; in another of 8 s one such cancellation refused eleven requests in turn,
	// because a refused client sends its next request into the same slot.
	cancelLag = 50 * time.Millisecond
)

// excess is a request that was refused because every slot was in use.
type excess struct{ arrived time.Time }

// takeSlot takes a slot unless all are in use. An ordinary answer does not
// free a slot for a waiting request, only a cancellation does.
func (s *Searcher) takeSlot() bool {
	if s.active.Add(1) <= int64(s.spec.Slots) {
		return true
	}
	s.active.Add(-1)
	canceled := s.counts.Canceled.Load()
	for start := time.Now(); time.Since(start) < cancelWait; {
		time.Sleep(cancelPoll)
		if s.counts.Canceled.Load() == canceled {
			continue
		}
		if s.active.Add(1) <= int64(s.spec.Slots) {
			return true
		}
		s.active.Add(-1)
	}
	return false
}

// countExcess counts a refused request, unless a cancellation is noticed after
// its arrival and within cancelLag of its refusal.
func (s *Searcher) countExcess(arrived time.Time) {
	e := &excess{arrived: arrived}
	s.mu.Lock()
	explained := s.noticed.After(arrived)
	if !explained {
		s.excess = append(s.excess, e)
	}
	s.mu.Unlock()
	if explained {
		s.counts.SlotRaces.Add(1)
		return
	}
	time.AfterFunc(cancelLag, func() {
		s.mu.Lock()
		i := slices.Index(s.excess, e)
		if i >= 0 {
			s.excess = slices.Delete(s.excess, i, i+1)
		}
		s.mu.Unlock()
		if i >= 0 {
			s.counts.OverSlots.Add(1)
		}
	})
}

// explainExcess takes a noticed cancellation as the explanation of the refusals
// of the last cancelLag.
func (s *Searcher) explainExcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticed = time.Now()
	s.counts.SlotRaces.Add(int64(len(s.excess)))
	s.excess = nil
}

package standin

import (
	"slices"
	"time"
)

// A client cancels a request by closing its connection and may use the freed slot at
// once on another connection, but the server detects the close later. A request that
// arrives in between does not exceed the client's slots.
const (
	// cancelWait is the time for which a request waits for the detection of a
	// cancellation before it is refused. It is short compared with service times, so
	// that clients that use too many slots are refused about as fast as by a real target.
	cancelWait = time.Millisecond
	cancelPoll = 100 * time.Microsecond
	// maxCancelDelay is the time after a refusal within which a detected cancellation
	// still accounts for the refusal. In a trace of 10 s at 150 % load on a busy machine
	// cancellations were detected up to 32 ms late; in another of 8 s one of them caused
	// eleven refusals in a row, because a refused client sends its next request into the
	// same slot.
	maxCancelDelay = 50 * time.Millisecond
)

// slotRefusal is a request that was refused because every slot was in use.
type slotRefusal struct{ arrived time.Time }

// acquireSlot acquires a slot and returns false if all are in use. A request that waits
// acquires a slot only after a cancellation, not after an ordinary answer.
func (s *Searcher) acquireSlot() bool {
	if s.slotsInUse.Add(1) <= int64(s.spec.Slots) {
		return true
	}
	s.slotsInUse.Add(-1)
	canceled := s.counts.Canceled.Load()
	for start := time.Now(); time.Since(start) < cancelWait; {
		time.Sleep(cancelPoll)
		if s.counts.Canceled.Load() == canceled {
			continue
		}
		if s.slotsInUse.Add(1) <= int64(s.spec.Slots) {
			return true
		}
		s.slotsInUse.Add(-1)
	}
	return false
}

// countRefusal counts a refused request in SlotRaces if a cancellation is detected
// after its arrival and within maxCancelDelay of its refusal, otherwise in OverSlots.
func (s *Searcher) countRefusal(arrived time.Time) {
	refusal := &slotRefusal{arrived: arrived}
	s.mu.Lock()
	raced := s.lastCancel.After(arrived)
	if !raced {
		s.refusals = append(s.refusals, refusal)
	}
	s.mu.Unlock()
	if raced {
		s.counts.SlotRaces.Add(1)
		return
	}
	time.AfterFunc(maxCancelDelay, func() {
		s.mu.Lock()
		i := slices.Index(s.refusals, refusal)
		if i >= 0 {
			s.refusals = slices.Delete(s.refusals, i, i+1)
		}
		s.mu.Unlock()
		if i >= 0 {
			s.counts.OverSlots.Add(1)
		}
	})
}

// attributeRefusals records a detected cancellation and counts the refusals of the last
// maxCancelDelay in SlotRaces.
func (s *Searcher) attributeRefusals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCancel = time.Now()
	s.counts.SlotRaces.Add(int64(len(s.refusals)))
	s.refusals = nil
}

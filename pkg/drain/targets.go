package drain

import "time"

// CanceledTimeout bounds the wait for what targets may still be working on although nobody
// waits for the result. A target that does not confirm a cancellation must not hold a host up.
const CanceledTimeout = 500 * time.Millisecond

// TargetWork counts the requests of other hosts on the targets of a host that takes no more.
type TargetWork struct {
	Awaited   int // requests whose senders wait for the reply
	AtTargets int // requests that the targets may be working on, awaited or canceled
}

// AwaitsTargets reports whether a host that refuses new work on its targets since refusing
// waits for the work that is left. Senders that wait have the whole grace period: a command
// that is cut off is unknown to its caller, who may not send it again.
func (s *Shutdown) AwaitsTargets(now, refusing time.Time, w TargetWork) bool {
	if now.Before(refusing.Add(CanceledTimeout)) {
		return w.Awaited > 0 || w.AtTargets > 0
	}
	return w.Awaited > 0 && now.Before(s.graceEnds)
}

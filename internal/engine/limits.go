package engine

import "time"

const (
	// defaultConnections is the limit of a target whose service states none.
	defaultConnections = 16
	// nearShare is the fraction of a target's connections for the hosts of its
	// place, which send most of the requests; the rest is for
	// those that have to go elsewhere when targets of their own place fail.
	nearShare = 0.5
	// minNear is the number of connections to a target of its own place that a host
	// needs so that a pause of one request does not send the next elsewhere.
	minNear = 2
	// budgetShare keeps a part of the slack for hosts that were restarted within
	// the window and forgot what they had sent.
	budgetShare = 0.5
	// hedgeReserve is the fraction of this host's slack that hedges leave for
	// repeats after a failure, which gain more.
	hedgeReserve = 0.3

	// blindWait is the longest wait for the first configuration, an eighth of the
	// caller's time at most.
	blindWait = 120 * time.Millisecond
	// blindRetry is the time after which callers of a host without a configuration
	// may return: a read of the store takes some tens of milliseconds, but a host
	// in that state has usually just started.
	blindRetry = 150 * time.Millisecond
	// outageRetry is the time after which callers may return when no target of a
	// service can be reached: the shortest time for which one is left alone.
	outageRetry = 100 * time.Millisecond

	// answerMargin is the time before the objective at which an answer leaves: the
	// way to the caller and back, and the time that this host needs.
	answerMargin = 12 * time.Millisecond
	// lateStart is the difference in the caller's time from which a request counts
	// as a repeat by the caller, whose objective runs since its first attempt.
	lateStart = 20 * time.Millisecond
	// defaultLimit holds for requests and routes without a time limit.
	defaultLimit = 10 * time.Second
	// callerGone is how long sends go on after the caller has left: most end by
	// then, and their connections stay usable.
	callerGone = 250 * time.Millisecond

	// busyRetry is the time after which a send is tried again if all connections
	// of this host were in use.
	busyRetry = 3 * time.Millisecond
	// busyPatience is the part of the objective for which a single request waits for
	// a connection of this host: one fourth. A caller that is refused then may still
	// be served elsewhere in time. A shard of a fan-out waits until its answer leaves.
	busyPatience = 4
	// refusedRetry is the time after which a send is tried again if all targets
	// refused; it doubles.
	refusedRetry = 15 * time.Millisecond
	// maxSends bounds the sends of one shard, those that did not run included.
	maxSends = 8
)

// connectionShare returns the connections that this host may have to a target, so
// that the sum over the hosts that callers are sent to stays within the target's
// limit. fleet and place are this host's parts of all hosts and of those of its
// place. Each host may have minNear to targets of its place and one to others,
// which hosts in reserve seldom use.
func connectionShare(limit int, fleet, place float64, near bool) int {
	if near {
		return max(minNear, int(nearShare*float64(limit)*place))
	}
	// The hosts of the target's own place do not take part; a fleet has three places
	// or more, or the far hosts are few.
	return max(1, int((1-nearShare)*float64(limit)*min(1, 1.5*fleet)))
}

package engine

import "time"

const (
	// defaultMaxConnections is the connection limit of a target whose service sets none.
	defaultMaxConnections = 16
	// localShare is the fraction of a target's connections for the hosts of its place,
	// which send most of the requests. The rest is for hosts of other places whose own
	// targets fail.
	localShare = 0.5
	// minLocalConnections is the least number of connections of a host to a target of
	// its own place. With one, a single delayed request would send the next request to
	// another target.
	minLocalConnections = 2
	// slackShare is the fraction of Config.RetrySlack that running hosts use. The rest
	// covers hosts that restarted within the RetryWindow and lost their counts of extra
	// sends.
	slackShare = 0.5
	// hedgeReserve is the fraction of this host's slack that hedges leave for retries,
	// each of which raises the chance of an answer more than a hedge does.
	hedgeReserve = 0.3

	// configWait is the longest wait for the first configuration. A request waits at
	// most an eighth of its timeout.
	configWait = 120 * time.Millisecond
	// noConfigRetryAfter is the retry delay given to callers of a host without a
	// configuration. Such a host has usually just started, and a read of the store
	// takes some tens of milliseconds.
	noConfigRetryAfter = 150 * time.Millisecond
	// outageRetryAfter is the retry delay given to callers when no target of a service
	// is reachable: the shortest backoff of an unreachable target.
	outageRetryAfter = 100 * time.Millisecond
	// minRetryAfter is the shortest retry delay given to callers of a fan-out when too few
	// shards take another request, and overloadRetryDivisor divides the time that a caller
	// has left into the usual one. A caller waits a third of its time at most.
	minRetryAfter        = 30 * time.Millisecond
	overloadRetryDivisor = 8

	// defaultTimeout applies if neither the request nor its route has a timeout.
	defaultTimeout = 10 * time.Second
	// cancelGrace is how long sends continue after the caller has disconnected. Most end
	// within that time and leave their connections usable.
	cancelGrace = 250 * time.Millisecond

	// busyRetryDelay is the retry delay of a send when all connections of this host were
	// in use.
	busyRetryDelay = 3 * time.Millisecond
	// lateRetryDelay replaces busyRetryDelay for a shard whose answer will be late: those
	// that can still be in time go first.
	lateRetryDelay = 20 * time.Millisecond
	// busyWaitDivisor divides the objective into the time for which a single request
	// waits for a connection of this host: one fourth. A caller refused by then can
	// still be served by another host in time. A shard of a fan-out waits until the
	// answer is sent.
	busyWaitDivisor = 4
	// delayedDivisor divides the objective into the duration of a send from which the queue
	// of its target is too long: one half.
	delayedDivisor = 2
	// refusedRetryDelay is the first retry delay after all targets refused; it doubles
	// each time.
	refusedRetryDelay = 15 * time.Millisecond
	// yieldingShare is the part of a target's window that less urgent requests may fill under
	// overload, and scarceShare that within scarceTime after a more urgent one found no room:
	// the targets' queues are filled by all hosts, so each host must leave more.
	yieldingShare = 0.7
	scarceShare   = 0.35
	scarceTime    = 500 * time.Millisecond
	// recentUseTime is the time after a send in which less urgent requests leave room at
	// targets of its service: longer than between two arrivals of an urgent kind at a host.
	recentUseTime = time.Second
	// roomWaitDivisor divides the objective into the time for which the most urgent fan-outs
	// wait for room at targets before they are refused: a quarter, as for other waits.
	roomWaitDivisor = 4
	// maxSends bounds the sends of one shard, including those that did not run.
	maxSends = 8
)

// connectionShare returns this host's connection limit for a target, such that the
// limits of the hosts in directory answers add up to at most the target's limit.
// fleet and place are this host's shares, 0 to 1, of the fleet and of its place; local
// is set for a target of this host's place. Every host may open minLocalConnections to
// a local target and one to any other. Hosts that are not in directory answers may exceed
// the target's limit by these minimums, but seldom use them.
func connectionShare(limit int, fleet, place float64, local bool) int {
	if local {
		return max(minLocalConnections, int(localShare*float64(limit)*place))
	}
	// The hosts of the target's own place take no part in this share. The factor 1.5
	// suits a fleet of three or more places; with fewer places, few hosts are remote.
	return max(1, int((1-localShare)*float64(limit)*min(1, 1.5*fleet)))
}

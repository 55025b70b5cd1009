package admission

import "time"

const (
	// sendGainDown and sendGainUp are the weights of a shorter and of a longer send in the
	// calm time of a send. A low value is tracked, which changes little when some targets are
	// slow. A host sends a few hundred times before the limit is in force: with ten times
	// these weights, the calm time had risen by most of the delay by then.
	sendGainDown = 0.004
	sendGainUp   = 0.0005
	// learningSends is the number of sends of a class in which the first ones weigh more, by
	// learningSends over their number and at most maxLearning. The first send is no estimate.
	learningSends = 400
	maxLearning   = 50
	// requestGainUp and requestGainDown are the weights of a longer and of a shorter request
	// in the calm time of a request. A high value is tracked: a request that starts with less
	// time is mostly late.
	requestGainUp   = 0.1
	requestGainDown = 0.03
	// maxNeedDivisor bounds the time that a request is assumed to need by a part of its
	// objective, one half, so that requests are admitted of which some are late and new times
	// are learnt.
	maxNeedDivisor = 2
	// floorDrift is the growth of the calm time of a send with each window of samples in which
	// sends are slow although the limit is at its least. Their cause is not the work of this
	// host then. It doubles in about 3.5 s, longer than one cause of a burst's own lasts at
	// the least limit.
	floorDrift = 0.01
	// classLifetime is the time without a request after which a class has no part in the
	// target delay, and forgetClass that after which its state is dropped.
	classLifetime = time.Second
	forgetClass   = 5 * time.Minute
)

// class holds the times of the requests of a class without overload.
type class struct {
	send      time.Duration // of a send, from the start of its request; 0 if unknown
	sends     int64         // that were learnt from
	request   time.Duration // of a whole request
	objective time.Duration
	seen      time.Time // the last request
}

// observeSend updates the calm time of a send.
func (c *class) observeSend(took time.Duration) {
	c.sends++
	learning := min(maxLearning, max(1, learningSends/float64(c.sends)))
	switch {
	case c.send == 0:
		c.send = took
	case took < c.send:
		c.send -= time.Duration(learning * sendGainDown * float64(c.send-took))
	default:
		c.send += time.Duration(learning * sendGainUp * float64(min(took, 4*c.send)-c.send))
	}
	c.send = max(c.send, 100*time.Microsecond)
}

// observeRequest updates the calm time of a request.
func (c *class) observeRequest(took time.Duration) {
	gain := requestGainUp
	if took < c.request {
		gain = requestGainDown
	}
	c.request += time.Duration(gain * float64(min(took, c.objective)-c.request))
}

// need returns the time that a request needs from its start to its answer.
func (c *class) need() time.Duration { return min(c.request, c.objective/maxNeedDivisor) }

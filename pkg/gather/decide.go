package gather

import (
	"math"
	"time"
)

// Progress is the state of a fan-out.
type Progress struct {
	Shards      int     // shards of the route
	Received    int     // parts received
	Outstanding int     // shards that may still answer
	MinRatio    float64 // least fraction of the shards in an answer, 0 to 1
}

// enough reports whether an answer may be sent with the given number of parts.
func (p Progress) enough(parts int) bool {
	return parts > 0 && float64(parts) >= p.MinRatio*float64(p.Shards)-ratioTolerance
}

// ratioTolerance absorbs the rounding error of products such as 0.9 of 10 shards.
const ratioTolerance = 1e-9

// Decision is the next step of a fan-out.
type Decision uint8

// The decisions on a fan-out.
const (
	Wait   Decision = iota // wait for further parts
	Answer                 // send the answer with the parts received
	GiveUp                 // fail: the least number of parts can no longer be reached
)

// Decide returns the next step of a fan-out. The users' platform that
// runs the edge values a partial answer at the square of its coverage and a late one at
// nearly nothing. So a fan-out waits for every shard until answerBy, just before its
// latency objective, and is then answered with the parts received. After answerBy it is answered as soon as it has enough parts.
func Decide(p Progress, now, answerBy time.Time) Decision {
	switch {
	case p.Outstanding == 0 && p.enough(p.Received):
		return Answer
	case !p.enough(p.Received + p.Outstanding):
		return GiveUp
	case !now.Before(answerBy) && p.enough(p.Received):
		return Answer
	default:
		return Wait
	}
}

// Required returns the least number of parts in an answer, at least 1.
func (p Progress) Required() int {
	return max(1, int(math.Ceil(p.MinRatio*float64(p.Shards)-ratioTolerance)))
}

package gather

import (
	"math"
	"time"
)

// Progress is the state of a fan-out.
type Progress struct {
	Shards      int     // of the route
	Received    int     // parts received
	Outstanding int     // shards that may still answer
	MinRatio    float64 // least fraction of the shards in an answer
}

// enough reports whether an answer may leave with the given number of parts.
func (p Progress) enough(parts int) bool {
	return parts > 0 && float64(parts) >= p.MinRatio*float64(p.Shards)-ratioTolerance
}

// ratioTolerance absorbs the rounding of ratios such as 0.9 of 10 shards.
const ratioTolerance = 1e-9

// Decision says what to do with a fan-out.
type Decision uint8

// Verdicts.
const (
	Wait   Decision = iota // for further parts
	Answer                 // with the parts received
	GiveUp                 // the least number of parts can no longer be had
)

// Decide says whether a fan-out is to be answered now. An answer that lacks a
// shard earns the square of its coverage, and a late one nearly nothing, so a
// fan-out waits for every shard until just before its objective and leaves then
// with what it has. After that it leaves as soon as it has enough.
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

// Required returns the least number of parts in an answer.
func (p Progress) Required() int {
	return max(1, int(math.Ceil(p.MinRatio*float64(p.Shards)-ratioTolerance)))
}

package gather

// Admission is the decision on a fan-out before anything is sent.
type Admission uint8

// The decisions before anything is sent.
const (
	Accept      Admission = iota
	Unreachable           // refuse: too few shards have a target that may get a request
	Overloaded            // refuse: too few shards have a target that takes a request now
)

// Admit decides whether a fan-out begins. reachable is the number of shards with a target
// that may get a request, and free the number of those with one that takes a request at
// once. A fan-out that cannot get the least number of parts is refused: the parts of its
// other shards would be wasted, and what they cost would make an overload worse, until
// hardly any answer is in time. Nothing has been sent then, so the refusal is certain not
// to have run. It answers a burst over the capacity of the shards and shards that lost
// most of their targets.
//
// A request to one service is never Overloaded: it wastes no other parts, and may wait.
func Admit(p Progress, reachable, free int) Admission {
	switch {
	case reachable < p.Required():
		return Unreachable
	case p.Shards > 1 && free < p.Required():
		return Overloaded
	default:
		return Accept
	}
}

package published

import "time"

const (
	// piggybackPeriod is how long a change is included in heartbeats. It reaches a
	// fleet of a few hundred hosts in half that time; hosts that missed it pull it.
	piggybackPeriod = 1500 * time.Millisecond
	// maxRecentPositions bounds the earlier positions from which changes are sent.
	maxRecentPositions = 4
)

// positionHistory holds the position of the state and the positions before its latest changes.
type positionHistory struct {
	current  Position
	previous []recentPosition // oldest first
}

// recentPosition is a position since which the changes are sent in heartbeats.
type recentPosition struct {
	position Position
	until    time.Time // end of the piggybackPeriod
}

// advance records that the state has moved to a position.
func (p *positionHistory) advance(now time.Time, to Position) {
	if p.current.Revision > 0 && to != p.current {
		p.previous = append(p.previous, recentPosition{p.current, now.Add(piggybackPeriod)})
		p.previous = p.previous[max(0, len(p.previous)-maxRecentPositions):]
	}
	p.current = to
}

// recent returns the positions since which changes are sent in heartbeats, the oldest
// first.
func (p *positionHistory) recent(now time.Time) []Position {
	var recent []Position
	for _, r := range p.previous {
		if now.Before(r.until) {
			recent = append(recent, r.position)
		}
	}
	return recent
}

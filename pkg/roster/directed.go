package roster

import "time"

// ShareDelay is how long callers have to be directed to a host before it uses the share of
// such a host: the longest window in which a shared limit is counted. Until then, the hosts
// to which they were directed before may have used theirs.
const ShareDelay = 10 * time.Second

// DirectedShare is this host's fraction of a limit of the fleet that only hosts with
// requests use. With little traffic callers are directed to few hosts, and equal fractions
// would leave these too little for a single hedge. Each host evaluates it alone. It is not
// safe for concurrent use.
type DirectedShare struct {
	since time.Time // from when on callers are directed to this host; zero if they are not
	sizes []directedSize
}

// directedSize is a number of hosts to which callers are directed, and until when it
// counts.
type directedSize struct {
	hosts int
	until time.Time
}

// Update records whether callers are directed to this host, and to how many hosts in all.
func (d *DirectedShare) Update(now time.Time, here bool, hosts int) {
	switch {
	case !here:
		d.since = time.Time{}
	case d.since.IsZero():
		d.since = now
	}
	kept := d.sizes[:0]
	for _, s := range d.sizes {
		if now.Before(s.until) && s.hosts > hosts {
			kept = append(kept, s)
		}
	}
	d.sizes = append(kept, directedSize{hosts, now.Add(Retention)})
}

// Of returns the fraction of a limit, given this host's fraction by capacity, as Shares
// returns it. A host that is cut off from others sees callers directed to few hosts, so
// the largest number of the last Retention counts.
func (d *DirectedShare) Of(now time.Time, byCapacity float64) float64 {
	switch {
	case len(d.sizes) == 0:
		return byCapacity
	case d.since.IsZero():
		return (1 - largeHostsShare) * byCapacity
	case now.Sub(d.since) < ShareDelay:
		return byCapacity
	default:
		return max(byCapacity, largeHostsShare/float64(max(1, d.sizes[0].hosts)))
	}
}

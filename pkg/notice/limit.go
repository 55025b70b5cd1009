package notice

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// localShare and farShare are the fractions of a limit for the hosts of the target's
	// place, which prefer it, and for those of other places. What is left is for hosts that
	// ask whether the limit is still named.
	localShare = 0.75
	farShare   = 0.2
	askShare   = 0.05
	// leastLimit is the limit, in requests a second, that a lower one counts as: a target that
	// gets nothing could not say that it takes requests again.
	leastLimit = 0.2
	// minHostRate is the least rate of a host with a share, in requests a second. With
	// less, more hosts than the limit is good for could each have a request saved up.
	minHostRate = 0.5
	// maxAskRate bounds the rate of a host without a share, in requests a second.
	maxAskRate = 0.1
	// savedUp is how much of its rate a host with a share may save up, beside one request.
	savedUp = 250 * time.Millisecond
	// askWindow is how long a host without a share may use its turn. A turn that is not used
	// is drawn again, so that many hosts which were idle do not send at the same time.
	askWindow = 500 * time.Millisecond
)

// Host is a host that shares limits.
type Host struct{ Name, Place string }

// Position is this host's position among the hosts that share the limit of a target.
type Position struct {
	Hosts int // that may have requests
	Group int // of these, in the target's place or elsewhere, as this host is
	Rank  int // of this host in its group, from 0; negative if it has no requests
	Local bool
}

// PositionOf returns the position of the host self among the hosts with requests, for a
// target in a place. The ranks differ by target, so that each host has shares of some.
func PositionOf(self Host, hosts []Host, target, place string) Position {
	weight := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + target) }
	p := Position{Hosts: len(hosts), Rank: -1, Local: self.Place == place}
	own, higher := weight(self.Name), 0
	for _, h := range hosts {
		if (h.Place == place) != p.Local {
			continue
		}
		p.Group++
		switch {
		case h.Name == self.Name:
			p.Rank = 0
		case weight(h.Name) > own:
			higher++
		}
	}
	if p.Rank == 0 {
		p.Rank = higher
	}
	return p
}

// HostRate returns how many requests a second this host may send to a target with a limit.
// Hosts evaluate it alone: over hosts that know the same fleet the rates add up to at most
// the limit, and what they can save up to at most twice as much. Where equal parts would be
// less than minHostRate, only the hosts of the lowest ranks have a share. A host without one
// asks now and then whether the limit is still named.
func HostRate(limit float64, p Position) float64 {
	share := farShare
	switch {
	case p.Local:
		share = localShare
	case p.Group == p.Hosts: // the target's place has no hosts with requests
		share = localShare + farShare
	}
	// Compared as numbers: a limit may be too large for an integer.
	sharing := share * limit / minHostRate
	if p.Local && sharing < 1 {
		sharing = 1
	}
	if p.Rank >= 0 && float64(p.Rank)+1 <= sharing {
		return share * limit / max(1, min(float64(p.Group), float64(int(min(sharing, 1e6)))))
	}
	return min(maxAskRate, askShare*limit/float64(max(1, p.Hosts)))
}

// pacer spaces the requests of this host to a target with a limit. The zero value has no
// limit.
type pacer struct {
	rate float64   // requests a second of this host; 0 if there is no limit
	next time.Time // when the next request may be sent
}

func (p *pacer) interval() time.Duration {
	return time.Duration(float64(time.Second) / max(p.rate, 1e-6))
}

// start begins a limit at a random time in an interval, because all hosts hear of it at
// the same time.
func (p *pacer) start(now time.Time, rate float64, rng *rand.Rand) {
	p.rate = rate
	p.next = now.Add(p.turn(rng))
}

func (p *pacer) turn(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(p.interval()))
}

// setRate changes the rate.
func (p *pacer) setRate(now time.Time, rate float64) {
	p.rate = rate
	if latest := now.Add(p.interval()); p.next.After(latest) {
		p.next = latest
	}
}

// wait returns how long this host has to wait until it may send a request.
func (p *pacer) wait(now time.Time, rng *rand.Rand) time.Duration {
	if p.rate > 0 && p.rate < minHostRate && now.Sub(p.next) > askWindow {
		p.next = now.Add(p.turn(rng))
	}
	return max(0, p.next.Sub(now))
}

// sent records a request.
func (p *pacer) sent(now time.Time) {
	if p.rate == 0 {
		return
	}
	if saved := now.Add(-savedUp); p.next.Before(saved) {
		p.next = saved
	}
	p.next = p.next.Add(p.interval())
}

package engine

import "time"

// rtt returns the round-trip time to a place, measured when connections were opened.
// Without a measurement it returns 0 for this host's place and defaultRTT for any other.
// The engine's lock must be held.
func (e *Engine) rtt(place string) time.Duration {
	if rtt, ok := e.rtts[place]; ok {
		return rtt
	}
	if place == e.cfg.Place {
		return 0
	}
	return defaultRTT
}

// defaultRTT is the round-trip time assumed for another place without a measurement.
const defaultRTT = 8 * time.Millisecond

// observeRTT updates the round-trip time to a place: the shortest time to open a
// connection, which rises slowly, by a 64th of the difference, with longer ones. The
// engine's lock must be held.
func (e *Engine) observeRTT(place string, dialTime time.Duration) {
	current, ok := e.rtts[place]
	if !ok || dialTime < current {
		e.rtts[place] = dialTime
		return
	}
	e.rtts[place] += (dialTime - current) / 64
}

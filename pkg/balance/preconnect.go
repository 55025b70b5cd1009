package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// keepConnected is how long after the last request to a service a host keeps a
	// connection for it open.
	keepConnected = 30 * time.Second
	// preconnectInterval is the shortest time between two attempts to connect for one
	// service.
	preconnectInterval = 2 * time.Second
)

// Preconnect decides for which services a host opens a connection ahead of requests. It
// answers little traffic on many shards, and the first request after a start or after the
// index was cut into other shards: opening a connection to each of a hundred shards takes
// a slow host longer than the objective of a request. It is not safe for concurrent use.
type Preconnect struct {
	tried map[string]time.Time // by service
}

// ServiceConnections is what Preconnect needs to know of a service.
type ServiceConnections struct {
	Service   string
	LastUsed  time.Time // of the last request to it; zero if there was none
	Connected bool      // to the target that the next request would go to
}

// Next returns at most limit services for which to connect now: those in use, and those
// that have had no request and no attempt yet. Services tried longest ago come first. It
// forgets services that are not passed.
func (p *Preconnect) Next(now time.Time, services []ServiceConnections, limit int) []string {
	tried := make(map[string]time.Time, len(services))
	var due []string
	for _, s := range services {
		last, ok := p.tried[s.Service]
		if ok {
			tried[s.Service] = last
		}
		inUse := !s.LastUsed.IsZero() && now.Sub(s.LastUsed) < keepConnected
		if !s.Connected && (inUse || !ok && s.LastUsed.IsZero()) && now.Sub(last) >= preconnectInterval {
			due = append(due, s.Service)
		}
	}
	p.tried = tried
	slices.SortStableFunc(due, func(a, b string) int { return cmp.Compare(tried[a].UnixNano(), tried[b].UnixNano()) })
	due = due[:min(limit, len(due))]
	for _, s := range due {
		tried[s] = now
	}
	return due
}

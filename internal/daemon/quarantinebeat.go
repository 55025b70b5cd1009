package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

// entrySends is how many heartbeats and acknowledgements carry a new entry.
// Each host that learns it passes it on as often, so that it reaches the whole
// fleet although a host of a large one has only 4 contacts.
const entrySends = 16

// extend returns new entries for a heartbeat, those sent least often first.
func (g *guard) extend(room int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, e := range g.table.Export(now) {
		g.outbox[e.Fingerprint] = entrySends
	}
	order := slices.SortedFunc(maps.Keys(g.outbox), func(a, b quarantine.Fingerprint) int {
		return cmp.Or(cmp.Compare(g.outbox[b], g.outbox[a]), cmp.Compare(a, b))
	})
	var entries []quarantine.Entry
	var data []byte
	for _, fp := range order {
		entry, known := g.table.Entry(now, fp)
		if !known {
			delete(g.outbox, fp)
			continue
		}
		longer, more, ok := appendEntry(entries, entry, room)
		if !ok && len(entries) > 0 {
			break // the next heartbeat starts with it
		}
		if ok { // else its names are too long for any heartbeat
			entries, data = longer, more
		}
		if g.outbox[fp]--; g.outbox[fp] <= 0 {
			delete(g.outbox, fp)
		}
	}
	return data
}

// appendEntry encodes entries with one more, with as many of its deaths as fit.
// Those of canaries go first, because they prove a query.
func appendEntry(entries []quarantine.Entry, e quarantine.Entry, room int) (longer []quarantine.Entry, data []byte, ok bool) {
	slices.SortStableFunc(e.Deaths, func(a, b quarantine.Death) int {
		switch {
		case a.Canary == b.Canary:
			return 0
		case a.Canary:
			return -1
		}
		return 1
	})
	for ; len(e.Deaths) > 0 || e.RefusedFor > 0; e.Deaths = e.Deaths[:len(e.Deaths)-1] {
		longer := append(slices.Clone(entries), e)
		data, err := wire.Marshal(longer)
		if err == nil && len(data) <= room {
			return longer, data, true
		}
		if len(e.Deaths) == 0 {
			break
		}
	}
	return nil, nil, false
}

// extended takes the entries of a peer's heartbeat.
func (g *guard) extended(_ membership.Peer, data []byte) {
	var entries []quarantine.Entry
	if g.config.tree() == nil || wire.Unmarshal(data, &entries) != nil {
		return // a newer version of the peer may send another form
	}
	g.learn(entries)
}

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

// entryTransmissions is the number of heartbeats and acknowledgements that carry a
// new entry. Each host that imports the entry sends it as often, so that it reaches
// all hosts, although a host of a large fleet has only 4 contacts.
const entryTransmissions = 16

// minRepeatedRefusal is the least rest of a refusal that is sent for as long as it lasts. With
// less, hosts would adopt the rest from each other at its end, and it would never end.
const minRepeatedRefusal = 10 * time.Second

// buildExtension returns encoded entries for a heartbeat, at most maxBytes bytes: new ones,
// starting with those sent least often, and then refusals in force, which a host that started
// meanwhile does not know, in turn.
func (g *quarantineGuard) buildExtension(maxBytes int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	entries, data, full := g.newEntries(now, maxBytes)
	if full {
		return data
	}
	return g.appendRefusals(now, entries, data, maxBytes)
}

// newEntries returns the new entries that fit a heartbeat, and their encoding; full is set if
// others are left. The lock must be held.
func (g *quarantineGuard) newEntries(now time.Time, maxBytes int) (entries []quarantine.Entry, data []byte, full bool) {
	for _, e := range g.table.Export(now) {
		g.transmissionsLeft[e.Fingerprint] = entryTransmissions
	}
	order := slices.SortedFunc(maps.Keys(g.transmissionsLeft), func(a, b quarantine.Fingerprint) int {
		return cmp.Or(cmp.Compare(g.transmissionsLeft[b], g.transmissionsLeft[a]), cmp.Compare(a, b))
	})
	for _, fp := range order {
		entry, known := g.table.Entry(now, fp)
		if !known {
			delete(g.transmissionsLeft, fp)
			continue
		}
		appended, encoded, ok := appendEntry(entries, entry, maxBytes)
		if !ok && len(entries) > 0 {
			return entries, data, true // sent with the next heartbeat
		}
		if ok { // otherwise the entry's names are too long for any heartbeat
			entries, data = appended, encoded
		}
		if g.transmissionsLeft[fp]--; g.transmissionsLeft[fp] <= 0 {
			delete(g.transmissionsLeft, fp)
		}
	}
	return entries, data, false
}

// appendRefusals appends refusals in force to the entries of a heartbeat, as many as fit, and
// returns the encoding of all. The lock must be held.
func (g *quarantineGuard) appendRefusals(now time.Time, entries []quarantine.Entry, data []byte, maxBytes int) []byte {
	refused := slices.DeleteFunc(g.table.Entries(now), func(e quarantine.Entry) bool {
		return e.RefusedFor < minRepeatedRefusal || slices.ContainsFunc(entries, func(sent quarantine.Entry) bool { return sent.Fingerprint == e.Fingerprint })
	})
	first, _ := slices.BinarySearchFunc(refused, g.nextRefusal, func(e quarantine.Entry, fp quarantine.Fingerprint) int { return cmp.Compare(e.Fingerprint, fp) })
	for _, e := range slices.Concat(refused[first:], refused[:first]) {
		appended, encoded, ok := appendEntry(entries, e, maxBytes)
		if !ok {
			g.nextRefusal = e.Fingerprint
			break
		}
		entries, data = appended, encoded
	}
	return data
}

// appendEntry appends an entry with as many of its deaths as fit in maxBytes, and
// returns the entries and their encoding. Deaths under canaries go first, because
// they prove that the query crashes targets. ok is false if the entry does not fit.
func appendEntry(entries []quarantine.Entry, e quarantine.Entry, maxBytes int) (appended []quarantine.Entry, data []byte, ok bool) {
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
		appended := append(slices.Clone(entries), e)
		data, err := wire.Marshal(appended)
		if err == nil && len(data) <= maxBytes {
			return appended, data, true
		}
		if len(e.Deaths) == 0 {
			break
		}
	}
	return nil, nil, false
}

// handleExtension imports the entries of a peer's heartbeat.
func (g *quarantineGuard) handleExtension(_ membership.Peer, data []byte) {
	var entries []quarantine.Entry
	if g.config.tree() == nil || wire.Unmarshal(data, &entries) != nil {
		return // a peer with a newer release may use another encoding
	}
	g.importEntries(entries)
}

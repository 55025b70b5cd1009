package settings

import (
	"encoding/json"
	"slices"
	"strings"
)

// maxExact is the largest integer that every JSON implementation keeps exactly.
const maxExact = 1<<53 - 1

// isName reports whether text is a name of a place or service, of the form
// [a-z0-9][a-z0-9-]{0,62}.
func isName(text []byte) bool {
	for i, c := range text {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && (c != '-' || i == 0) {
			return false
		}
	}
	return len(text) >= 1 && len(text) <= 63
}

// readDocument decodes a configuration document in one pass. It returns false
// for every document that the schema refuses, and also for valid ones in an
// unusual form, such as escapes in strings; those are left to decodeStrict,
// which alone reports faults. The schema took most of the 70 ms of a check of
// 6,800 targets, which delays every change.
func readDocument(data []byte, doc *Document) bool {
	r := &reader{data: data}
	*doc = Document{}
	r.object([]string{"version", "designated_level", "fleet", "places", "services", "hosts_out", "targets_out"}, 5, func(member int) {
		switch member {
		case 0:
			doc.Version = r.integer(1, maxExact)
		case 1:
			doc.DesignatedLevel = oneOf(r, LevelFleet, LevelPlace, LevelService)
		case 2:
			r.object([]string{"settings"}, 0, func(int) { doc.Fleet.Settings = r.overrides() })
		case 3:
			doc.Places = entries(r, r.place)
		case 4:
			doc.Services = entries(r, r.service)
		case 5:
			doc.HostsOut = r.names()
		case 6:
			doc.TargetsOut = r.names()
		}
	})
	r.space()
	return !r.failed && r.at == len(data)
}

func (r *reader) place() (p Place) {
	r.object([]string{"state", "hosts", "settings"}, 2, func(member int) {
		switch member {
		case 0:
			p.State = oneOf(r, PlaceIn, PlaceOut)
		case 1:
			p.Hosts = int(r.integer(1, 1000))
		case 2:
			p.Settings = r.overrides()
		}
	})
	return p
}

func (r *reader) service() (s Service) {
	r.object([]string{"kind", "partition_epoch", "groups", "settings"}, 3, func(member int) {
		switch member {
		case 0:
			s.Kind = oneOf(r, KindSearch, KindLookup, KindCommand)
		case 1:
			s.PartitionEpoch = r.integer(1, maxExact)
		case 2:
			r.array(1, func() { s.Groups = append(s.Groups, r.group()) })
		case 3:
			s.Settings = r.overrides()
		}
	})
	return s
}

var (
	groupMembers  = []string{"id", "range", "targets"}
	rangeMembers  = []string{"from", "to"}
	targetMembers = []string{"id", "place", "address", "slots", "connections"}
)

func (r *reader) group() (g Group) {
	r.object(groupMembers, 3, func(member int) {
		switch member {
		case 0:
			g.ID = r.identifier()
		case 1:
			r.object(rangeMembers, 2, func(member int) {
				if member == 0 {
					g.Range.From = r.integer(0, maxExact)
				} else {
					g.Range.To = r.integer(1, maxExact)
				}
			})
		case 2:
			r.array(1, func() { g.Targets = append(g.Targets, r.target()) })
		}
	})
	return g
}

func (r *reader) target() (t Target) {
	r.object(targetMembers, 5, func(member int) {
		switch member {
		case 0:
			t.ID = r.identifier()
		case 1:
			t.Place = r.name()
		case 2:
			t.Address = string(r.text())
		case 3:
			t.Slots = int(r.integer(1, 10000))
		case 4:
			t.Connections = int(r.integer(1, 100000))
		}
	})
	return t
}

func (r *reader) name() string {
	text := r.text()
	if !isName(text) {
		r.failed = true
	}
	return string(text)
}

func (r *reader) identifier() string {
	text := r.text()
	if len(text) < 1 || len(text) > 128 {
		r.failed = true
	}
	return string(text)
}

func (r *reader) names() []string {
	names := []string{}
	r.array(0, func() { names = append(names, r.identifier()) })
	if sorted := slices.Sorted(slices.Values(names)); len(slices.Compact(sorted)) < len(names) {
		r.failed = true
	}
	return names
}

func (r *reader) overrides() Overrides {
	set := Overrides{}
	r.members(func(key []byte) {
		if _, twice := set[string(key)]; twice {
			r.failed = true
		}
		set[string(key)] = r.scalar()
	})
	return set
}

// oneOf reads one of the given strings.
func oneOf[T ~string](r *reader, accepted ...T) T {
	value := T(r.text())
	if !slices.Contains(accepted, value) {
		r.failed = true
	}
	return value
}

// entries reads an object with 1 to 256 names of places or services.
func entries[T any](r *reader, read func() T) map[string]T {
	all := map[string]T{}
	r.members(func(key []byte) {
		if _, twice := all[string(key)]; twice || !isName(key) {
			r.failed = true
		}
		all[string(key)] = read()
	})
	if len(all) < 1 || len(all) > 256 {
		r.failed = true
	}
	return all
}

// reader reads JSON in its plain form: strings of printable ASCII without
// escapes, and integers as digits.
type reader struct {
	data   []byte
	at     int
	failed bool // the rest is not read
}

func (r *reader) space() {
	for r.at < len(r.data) {
		switch r.data[r.at] {
		case ' ', '\t', '\n', '\r':
			r.at++
		default:
			return
		}
	}
}

// skip reads a byte if it comes next.
func (r *reader) skip(c byte) bool {
	r.space()
	if r.failed || r.at == len(r.data) || r.data[r.at] != c {
		return false
	}
	r.at++
	return true
}

func (r *reader) expect(c byte) {
	if !r.skip(c) {
		r.failed = true
	}
}

func (r *reader) members(visit func(key []byte)) {
	r.expect('{')
	for first := true; !r.skip('}') && !r.failed; first = false {
		if !first {
			r.expect(',')
		}
		key := r.text()
		r.expect(':')
		if !r.failed {
			visit(key)
		}
	}
}

// object reads an object that may have the given members, each once, of which
// the first ones are required.
func (r *reader) object(names []string, required int, visit func(member int)) {
	var seen uint
	r.members(func(key []byte) {
		for i, name := range names {
			if string(key) == name && seen&(1<<i) == 0 {
				seen |= 1 << i
				visit(i)
				return
			}
		}
		r.failed = true
	})
	if all := uint(1)<<required - 1; seen&all != all {
		r.failed = true
	}
}

func (r *reader) array(least int, visit func()) {
	r.expect('[')
	n := 0
	for ; !r.skip(']') && !r.failed; n++ {
		if n > 0 {
			r.expect(',')
		}
		visit()
	}
	if n < least {
		r.failed = true
	}
}

func (r *reader) text() []byte {
	r.expect('"')
	start := r.at
	for ; r.at < len(r.data); r.at++ {
		switch c := r.data[r.at]; {
		case c == '"':
			r.at++
			return r.data[start : r.at-1]
		case c < ' ' || c > '~' || c == '\\':
			r.failed = true
			return nil
		}
	}
	r.failed = true
	return nil
}

func (r *reader) integer(low, high uint64) (n uint64) {
	r.space()
	start := r.at
	for ; r.at < len(r.data) && r.data[r.at] >= '0' && r.data[r.at] <= '9' && n <= maxExact; r.at++ {
		n = n*10 + uint64(r.data[r.at]-'0')
	}
	if digits := r.at - start; digits == 0 || digits > 1 && r.data[start] == '0' || n < low || n > high {
		r.failed = true
	}
	return n
}

// scalar reads a string or a number as it stands.
func (r *reader) scalar() json.RawMessage {
	r.space()
	start := r.at
	if r.at < len(r.data) && r.data[r.at] == '"' {
		r.text()
	} else {
		for r.at < len(r.data) && strings.IndexByte("+-.0123456789eE", r.data[r.at]) >= 0 {
			r.at++
		}
	}
	value := r.data[start:r.at:r.at]
	if !json.Valid(value) {
		r.failed = true
	}
	return value
}

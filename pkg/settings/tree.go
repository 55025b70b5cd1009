package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
)

// Tree is a checked configuration document with its effective settings.
type Tree struct {
	Doc     Document
	Digest  uint64 // hash of the document's bytes; tells apart two documents of one version
	Raw     []byte // the document as published
	policy  map[policyKey]*Policy
	targets map[string]*TargetInfo
}

type policyKey struct{ place, service string }

// TargetInfo is a target with the place it holds in the topology.
type TargetInfo struct {
	Target
	Service string
	Group   string
	Owners  []int // host ordinals of the target's place, highest rank first
	Out     bool  // operators took it out of service
}

// Explanation tells where the effective value of one field comes from.
type Explanation struct {
	Field     string  `json:"field"`
	Value     string  `json:"value"`
	Level     Level   `json:"level"`
	Overruled []Value `json:"overruled,omitempty"`
}

// Value is what one level sets for a field.
type Value struct {
	Level Level  `json:"level"`
	Value string `json:"value"`
}

// Parse decodes and checks a configuration document. The error is an
// *InvalidError that names the path of every fault.
func Parse(data []byte) (*Tree, error) {
	if len(data) > MaxDocumentBytes {
		return nil, &InvalidError{Faults: []Fault{{Problem: fmt.Sprintf("document has %d bytes, the limit is %d", len(data), MaxDocumentBytes)}}}
	}
	t := &Tree{Digest: xxhash.Sum64(data), Raw: data}
	if err := decodeStrict(data, "document", &t.Doc); err != nil {
		return nil, err
	}
	var found faults
	t.checkSettings(&found)
	t.checkTopology(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	t.resolve()
	return t, nil
}

// Effective returns the settings of a service in a place. An empty place or
// service leaves that level out. For a place or service that does not exist it
// returns what the levels that do exist set.
func (t *Tree) Effective(place, service string) *Policy {
	if p, ok := t.policy[policyKey{place, service}]; ok {
		return p
	}
	p := t.effective(place, service)
	return &p
}

// Explain returns every field's effective value, the level that gave it and
// the levels it overruled.
func (t *Tree) Explain(place, service string) []Explanation {
	result := make([]Explanation, 0, len(fields))
	for _, f := range fields {
		winner, losers := t.decide(&f, place, service)
		result = append(result, Explanation{Field: f.Name, Value: winner.Value, Level: winner.Level, Overruled: losers})
	}
	return result
}

// Target returns a target by its identifier.
func (t *Tree) Target(id string) (*TargetInfo, bool) {
	info, ok := t.targets[id]
	return info, ok
}

// Targets calls visit for every target.
func (t *Tree) Targets(visit func(*TargetInfo)) {
	for _, info := range t.targets {
		visit(info)
	}
}

// PlaceInService reports whether a place exists and is in service.
func (t *Tree) PlaceInService(place string) bool { return t.Doc.Places[place].State == PlaceIn }

// levels returns the nodes that apply to a service in a place, from general
// to specific.
func (t *Tree) levels(place, service string) []struct {
	level Level
	node  Node
} {
	return []struct {
		level Level
		node  Node
	}{
		{LevelFleet, t.Doc.Fleet},
		{LevelPlace, t.Doc.Places[place].Node},
		{LevelService, t.Doc.Services[service].Node},
	}
}

// decide returns the value in force for a field and the values it overruled.
func (t *Tree) decide(f *Field, place, service string) (winner Value, losers []Value) {
	winner = Value{LevelDefault, f.Default}
	decided := false
	for _, l := range t.levels(place, service) {
		raw, ok := l.node.Settings[f.Name]
		if !ok {
			continue
		}
		value := Value{l.level, string(raw)}
		if decided {
			losers = append(losers, value)
			continue
		}
		if winner.Level != LevelDefault {
			losers = append(losers, winner)
		}
		winner = value
		decided = l.level == t.Doc.DesignatedLevel
	}
	return winner, losers
}

func (t *Tree) effective(place, service string) Policy {
	p := DefaultPolicy()
	for i := range fields {
		f := &fields[i]
		winner, _ := t.decide(f, place, service)
		value, err := f.parse(json.RawMessage(winner.Value))
		if err != nil {
			panic(fmt.Sprintf("checked value of %s: %v", f.Name, err)) // broken invariant: Parse checked it
		}
		f.set(&p, value)
	}
	return p
}

func (t *Tree) resolve() {
	t.policy = map[policyKey]*Policy{}
	// The empty place and service stand for settings that hold whatever the
	// place or the service.
	places := append(slices.Collect(maps.Keys(t.Doc.Places)), "")
	services := append(slices.Collect(maps.Keys(t.Doc.Services)), "")
	for _, place := range places {
		for _, service := range services {
			p := t.effective(place, service)
			t.policy[policyKey{place, service}] = &p
		}
	}
	t.targets = map[string]*TargetInfo{}
	for name, s := range t.Doc.Services {
		for _, g := range s.Groups {
			for _, target := range g.Targets {
				t.targets[target.ID] = &TargetInfo{
					Target: target, Service: name, Group: g.ID,
					Owners: ownership.Owners(target.ID, t.Doc.Places[target.Place].Hosts, ownership.PerTarget),
					Out:    slices.Contains(t.Doc.TargetsOut, target.ID),
				}
			}
		}
	}
}

func (t *Tree) checkSettings(found *faults) {
	check := func(path string, level Level, set Overrides) {
		for name, raw := range set {
			f, ok := fieldByName[name]
			if !ok {
				found.addf(path+".settings."+name, "unknown field")
				continue
			}
			if f.HostWide && level == LevelService {
				found.addf(path+".settings."+name, "holds for a host as a whole; set it for the fleet or a place")
			}
			if _, err := f.parse(bytes.TrimSpace(raw)); err != nil {
				found.addf(path+".settings."+name, "%v", err)
			}
		}
	}
	check("fleet", LevelFleet, t.Doc.Fleet.Settings)
	for name, place := range t.Doc.Places {
		check("places."+name, LevelPlace, place.Settings)
	}
	for name, service := range t.Doc.Services {
		check("services."+name, LevelService, service.Settings)
	}
	slices.SortFunc(*found, func(a, b Fault) int { return bytes.Compare([]byte(a.Path), []byte(b.Path)) })
}

func (t *Tree) checkTopology(found *faults) {
	ids := map[string]targetAt{}
	for name, service := range t.Doc.Services {
		path := "services." + name
		var space keyspace.Set
		groups := make(map[string]int, len(service.Groups))
		for i, group := range service.Groups {
			at := path + ".groups[" + strconv.Itoa(i) + "]"
			if other, ok := groups[group.ID]; ok {
				found.addf(at+".id", "%q is also the identifier of %s.groups[%d]", group.ID, path, other)
			}
			groups[group.ID] = i
			if !group.Range.Valid() {
				found.addf(at+".range", "%s is empty or outside the key space [0,%d)", group.Range, keyspace.Size)
				continue
			}
			if left := space.Uncovered(group.Range); len(left) != 1 || left[0] != group.Range {
				found.addf(at+".range", "%s overlaps another group", group.Range)
			}
			space.Add(group.Range)
			t.checkTargets(at, group, ids, found)
		}
		if space.Len() != keyspace.Size {
			found.addf(path+".groups", "the ranges leave %d of %d keys without a group", keyspace.Size-space.Len(), keyspace.Size)
		}
	}
	for i, id := range t.Doc.TargetsOut {
		if _, ok := ids[id]; !ok {
			found.addf(fmt.Sprintf("targets_out[%d]", i), "target %q does not exist", id)
		}
	}
}

// targetAt is the position of a target in the document. Its path is built only
// for a fault.
type targetAt struct {
	group string // path
	index int
}

func (a targetAt) String() string { return fmt.Sprintf("%s.targets[%d]", a.group, a.index) }

func (t *Tree) checkTargets(at string, group Group, ids map[string]targetAt, found *faults) {
	for i, target := range group.Targets {
		path := targetAt{at, i}
		if other, ok := ids[target.ID]; ok {
			found.addf(path.String()+".id", "%q is also the identifier of %s", target.ID, other)
		}
		ids[target.ID] = path
		if _, ok := t.Doc.Places[target.Place]; !ok {
			found.addf(path.String()+".place", "place %q does not exist", target.Place)
		}
		if err := checkAddress(target.Address); err != nil {
			found.addf(path.String()+".address", "%v", err)
		}
	}
}

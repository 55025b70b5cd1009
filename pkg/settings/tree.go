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
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Tree is a validated configuration document with its effective settings.
type Tree struct {
	Doc     Document
	Digest  uint64 // hash of the document's bytes; distinguishes documents of the same version
	Raw     []byte // the document as published
	policy  map[policyKey]*Policy
	targets map[string]*TargetInfo
	tenants []tenant.Tenant   // with the keys of the document
	keys    *tenant.Directory // nil if the document has no tenants
}

type policyKey struct{ place, service string }

// TargetInfo is a target with its position in the topology.
type TargetInfo struct {
	Target
	Service string
	Group   string
	Owners  []int // host ordinals of the target's place, by rank
	Out     bool  // taken out of service by operators
}

// Explanation names the level that gave the effective value of one field.
type Explanation struct {
	Field     string  `json:"field"`
	Value     string  `json:"value"`
	Level     Level   `json:"level"`
	Overruled []Value `json:"overruled,omitempty"`
}

// Value is the value that one level sets for a field, as JSON text.
type Value struct {
	Level Level  `json:"level"`
	Value string `json:"value"`
}

// Parse decodes and validates a configuration document. The error is an
// *InvalidError that names the path of every fault; a syntax error is reported
// alone, with its line and column. Values of settings and references are checked
// only in a document that matches the schema.
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
	t.decodeTenants(&found)
	if err := found.err(); err != nil {
		return nil, err
	}
	t.resolve()
	return t, nil
}

// Effective returns the settings of a service in a place. An empty or unknown
// place or service sets nothing at its level. The result must not be modified.
func (t *Tree) Effective(place, service string) *Policy {
	if p, ok := t.policy[policyKey{place, service}]; ok {
		return p
	}
	p := t.effective(place, service)
	return &p
}

// Explain returns the effective value of every field, the level that gave the value
// and the values of other levels that it overruled, in the order of Fields.
func (t *Tree) Explain(place, service string) []Explanation {
	result := make([]Explanation, 0, len(fields))
	for _, f := range fields {
		winner, overruled := t.resolveField(&f, place, service)
		result = append(result, Explanation{Field: f.Name, Value: winner.Value, Level: winner.Level, Overruled: overruled})
	}
	return result
}

// Target returns a target by its identifier and whether it exists.
func (t *Tree) Target(id string) (*TargetInfo, bool) {
	info, ok := t.targets[id]
	return info, ok
}

// Targets calls visit for every target, in no particular order.
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

// resolveField returns the effective value of a field and the values that it
// overruled.
func (t *Tree) resolveField(f *Field, place, service string) (winner Value, overruled []Value) {
	winner = Value{LevelDefault, f.Default}
	designated := false // set once the value of the designated level is found; later levels are overruled
	for _, l := range t.levels(place, service) {
		raw, ok := l.node.Settings[f.Name]
		if !ok {
			continue
		}
		value := Value{l.level, string(raw)}
		if designated {
			overruled = append(overruled, value)
			continue
		}
		if winner.Level != LevelDefault {
			overruled = append(overruled, winner)
		}
		winner = value
		designated = l.level == t.Doc.DesignatedLevel
	}
	return winner, overruled
}

func (t *Tree) effective(place, service string) Policy {
	p := DefaultPolicy()
	for i := range fields {
		f := &fields[i]
		winner, _ := t.resolveField(f, place, service)
		value, err := f.parse(json.RawMessage(winner.Value))
		if err != nil {
			panic(fmt.Sprintf("validated value of %s: %v", f.Name, err)) // broken invariant: Parse validated the value
		}
		f.set(&p, value)
	}
	return p
}

func (t *Tree) resolve() {
	t.policy = map[policyKey]*Policy{}
	// The empty place and service stand for settings that do not depend on the
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
				found.addf(path+".settings."+name, "applies to a host as a whole; set it for the fleet or a place")
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
	ids := map[string]targetPosition{}
	for name, service := range t.Doc.Services {
		path := "services." + name
		var covered keyspace.Set
		groups := make(map[string]int, len(service.Groups))
		for i, group := range service.Groups {
			groupPath := path + ".groups[" + strconv.Itoa(i) + "]"
			if other, ok := groups[group.ID]; ok {
				found.addf(groupPath+".id", "%q is also the identifier of %s.groups[%d]", group.ID, path, other)
			}
			groups[group.ID] = i
			if !group.Range.Valid() {
				found.addf(groupPath+".range", "%s is empty or outside the key space [0,%d)", group.Range, keyspace.Size)
				continue
			}
			if uncovered := covered.Uncovered(group.Range); len(uncovered) != 1 || uncovered[0] != group.Range {
				found.addf(groupPath+".range", "%s overlaps another group", group.Range)
			}
			covered.Add(group.Range)
			t.checkTargets(groupPath, group, ids, found)
		}
		if covered.Len() != keyspace.Size {
			found.addf(path+".groups", "the ranges leave %d of %d keys without a group", keyspace.Size-covered.Len(), keyspace.Size)
		}
	}
	for i, id := range t.Doc.TargetsOut {
		if _, ok := ids[id]; !ok {
			found.addf(fmt.Sprintf("targets_out[%d]", i), "target %q does not exist", id)
		}
	}
}

// targetPosition is the position of a target in the document. Its path is built
// only for a fault, which keeps the validation of valid documents cheap.
type targetPosition struct {
	group string // path of the group
	index int
}

func (a targetPosition) String() string { return fmt.Sprintf("%s.targets[%d]", a.group, a.index) }

func (t *Tree) checkTargets(groupPath string, group Group, ids map[string]targetPosition, found *faults) {
	for i, target := range group.Targets {
		path := targetPosition{groupPath, i}
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

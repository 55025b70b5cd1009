package settings

import (
	"encoding/json"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

// Level is a level of the settings tree.
type Level string

// Levels, from general to specific. LevelDefault marks built-in values and is not
// a level of documents.
const (
	LevelDefault Level = "default"
	LevelFleet   Level = "fleet"
	LevelPlace   Level = "place"
	LevelService Level = "service"
)

// Overrides are the policy settings that one level sets, undecoded, by field name.
type Overrides map[string]json.RawMessage

// PlaceState says whether a place is in service.
type PlaceState string

// Place states.
const (
	PlaceIn  PlaceState = "in"
	PlaceOut PlaceState = "out" // taken out of service by operators
)

// ServiceKind is the kind of request that a service answers.
type ServiceKind string

// Service kinds. A search is idempotent and fans out to every group. A lookup
// reads one record; a command is a lookup that may not be repeated.
const (
	KindSearch  ServiceKind = "search"
	KindLookup  ServiceKind = "lookup"
	KindCommand ServiceKind = "command"
)

// Document is the configuration document that operators publish.
type Document struct {
	Version         uint64             `json:"version"`
	DesignatedLevel Level              `json:"designated_level"`
	Fleet           Node               `json:"fleet"`
	Places          map[string]Place   `json:"places"`
	Services        map[string]Service `json:"services"`
	HostsOut        []string           `json:"hosts_out,omitempty"`   // names of hosts taken out of service
	TargetsOut      []string           `json:"targets_out,omitempty"` // identifiers of targets taken out of service
}

// Node is one node of the settings tree.
type Node struct {
	Settings Overrides `json:"settings,omitempty"`
}

// Place is a data centre.
type Place struct {
	Node
	State PlaceState `json:"state"`
	Hosts int        `json:"hosts"` // number of host ordinals
}

// Service is a set of targets that answer one kind of request.
type Service struct {
	Node
	Kind           ServiceKind `json:"kind"`
	PartitionEpoch uint64      `json:"partition_epoch"` // higher after each change of the groups' ranges
	Groups         []Group     `json:"groups"`
}

// Group is the replica set of one shard: a key range and the targets that hold it.
type Group struct {
	ID      string         `json:"id"`
	Range   keyspace.Range `json:"range"`
	Targets []Target       `json:"targets"`
}

// Target is one back-end server.
type Target struct {
	ID          string `json:"id"`
	Place       string `json:"place"`
	Address     string `json:"address"`     // IP address and port
	Slots       int    `json:"slots"`       // concurrent requests that the target executes
	Connections int    `json:"connections"` // concurrent connections that the target accepts
}

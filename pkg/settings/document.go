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
	// Tenants are the customers whose requests are accepted. Requests need no key if it is
	// nil; with an empty list, only anonymous services take requests.
	Tenants []Tenant `json:"tenants,omitzero"`
}

// Tenant is a customer whose callers present one of its keys. A document holds only
// digests of keys, because hosts exchange documents byte by byte and compare them by a hash
// of the bytes, so that none of them can replace a key by its digest.
type Tenant struct {
	Name       string   `json:"name"`
	KeyDigests []string `json:"key_digests,omitempty"` // SHA-256 in hexadecimal
	// Priority is the class of the tenant's requests; "" for that of the service.
	Priority string `json:"priority,omitempty"`
	// RatePerS and Burst limit the requests to all hosts together; a RatePerS of 0 is no
	// limit.
	RatePerS float64 `json:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	// Keys is refused; the field exists for the text of the fault.
	Keys json.RawMessage `json:"keys,omitempty"`
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
	Anonymous      bool        `json:"anonymous,omitempty"` // takes requests without a known key
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

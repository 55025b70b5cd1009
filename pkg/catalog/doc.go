// Package catalog holds the published state of the platform: the configuration of
// routes and services, the targets that registered themselves, and the places
// that operators evacuated.
//
// A Catalog merges full reads and changes of the platform's store, which may
// arrive in any order, into immutable Views. It guards against an older
// configuration replacing a newer one, against a change that arrives after a
// newer read, against dropping live targets because of a store outage, and
// against items that cannot be decoded. It does not choose targets for
// requests.
//
// The package does no I/O. A Catalog is not safe for concurrent use; a View is
// immutable and may be shared.
package catalog

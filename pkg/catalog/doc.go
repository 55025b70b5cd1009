// Package catalog holds what the platform has published: the configuration of
// routes and services, the targets that registered themselves, and the places
// that operators evacuated.
//
// A Catalog merges reads and change notices of the platform's store, in any order
// of arrival, into immutable Views. It guards against an older configuration
// replacing a newer one, against a change notice that arrives after a newer
// read, against targets that are forgotten because the store was away, and
// against entries that cannot be read.
//
// The package does no I/O. A Catalog is not safe for concurrent use; a View is
// immutable and may be shared.
package catalog

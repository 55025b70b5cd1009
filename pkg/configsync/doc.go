// Package configsync decides which version of a published document is in force
// on a host, which hosts watch the configuration service, and which sections a
// host requests from a peer that has a newer version.
//
// It owns the document in force and its sections. It does not read the service,
// communicate with peers or interpret the document; the caller passes in the
// validation. It guards against a host reverting to an older version that a stale
// service or peer still has, against two documents of the same version remaining
// in force on different hosts, and against a document assembled from sections of
// different versions.
//
// The position in force is a pair of version and digest and never decreases. A
// State is not safe for concurrent use.
package configsync

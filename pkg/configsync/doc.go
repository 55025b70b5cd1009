// Package configsync decides which version of a published document is in force
// on a host, which hosts watch the service, and what a host asks of a peer that
// knows a newer version.
//
// It owns the document in force and its sections. It does not read the service,
// talk to peers or interpret the document; the caller passes in the check that a
// document must pass. It guards against a host going back to an older version
// that a stale service or peer still holds, against two documents of one
// version staying in force on different hosts, and against a document that was
// put together from sections of different versions.
//
// The position in force is the pair of version and digest and only rises. A
// State is not safe for concurrent use; the caller serialises.
package configsync

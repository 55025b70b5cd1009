// Package gossip carries the heartbeats of hosts as datagrams and the published
// state between hosts over HTTP.
//
// A heartbeat fits one datagram, so that it needs no connection that could go
// silent. A host that learns of a newer revision of the store pulls the whole
// state from the peer that knows it. What the news mean is decided by package
// roster and by the caller.
package gossip

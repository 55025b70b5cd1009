// Package gossip exchanges heartbeats between hosts over UDP and transfers the
// published state (configuration, evacuated places and entries of targets) between
// them over HTTP.
//
// A heartbeat fits one datagram, so that it does not depend on a connection that
// could fail silently. It carries the sender's state, relayed states and liveness
// records of other hosts, recent crashes of targets and, if they are short enough,
// the latest changes of the published state. A host that still lacks changes pulls
// them, or the whole state, from the peer that reported the newer revision.
//
// A Gossip owns the UDP socket and the roster. Which hosts are alive and receive a
// heartbeat is decided by package roster; whether an update is applied or pulled is
// decided by the caller. Gossip and Puller are safe for concurrent use; an Update
// is not modified by this package.
package gossip

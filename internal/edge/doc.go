// Package edge assembles one host on the users' platform: it keeps the published
// state (configuration, evacuated places and entries of targets) up to date, exchanges
// heartbeats with the other hosts, passes callers' requests to the engine, answers
// directory queries with the hosts that callers connect to, and shuts down gracefully.
//
// A Host owns the listeners, the state follower, the Gossip and the engine. It
// makes no decisions about requests: those are the engine's. The platform's formats
// are implemented by the Handlers, the Store and the Codec in Options.
//
// Host and Metrics are safe for concurrent use. Run is called once.
package edge

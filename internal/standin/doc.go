// Package standin provides fakes of the services around the hosts for tests, the demo
// and the load tool: the configuration service with the host list, the searchers,
// the certificate authority and the network links between places.
//
// The fakes implement the interfaces that the hosts use on loopback and inject the faults that
// the test or tool sets. They do not simulate a fleet and do not schedule faults or
// check answers. Platform, Network and Searcher are safe for concurrent use, and a
// Dataset is immutable.
package standin

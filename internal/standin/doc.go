// Package standin holds small stand-ins for what surrounds the tier: the
// configuration service, the host list, the searchers and the links between
// places. They are fakes at the interfaces of the tier, on loopback, for
// tests, the demo and the load tool; they are not a model of a cluster.
package standin

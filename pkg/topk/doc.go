// Package topk names the keys with the most events out of many, in a fixed amount of memory.
//
// It answers the load of 100,000 tenants of which a few send most requests: a metric with a
// series for each would fill the memory of hosts and of the system that collects them. A
// Counter holds the counts of a bounded number of keys by the Space-Saving algorithm: a key
// that is not held replaces the one with the lowest count and inherits that count. A key with
// more than 1/capacity of the events is always held.
//
// The types are not safe for concurrent use.
package topk

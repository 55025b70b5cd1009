// Package edge wires one host of the platform: it follows the published state,
// exchanges heartbeats with the other hosts, runs callers' requests through the
// engine, tells callers where to connect, and ends in order.
//
// It decides nothing about requests. What it knows of the platform's formats
// comes in as handlers and as a Store.
package edge

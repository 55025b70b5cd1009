// Package backend sends requests to targets over persistent HTTP/1.1 connections and
// reports the result of each send.
//
// It owns the connections of one host to each target. It sends each request once;
// package engine decides on hedges and retries. It rejects answers that belong to
// another request, that end early or that are followed by further bytes, detects
// connections that broke while idle, and opens no more connections to a target than
// this host's share of the target's limit.
//
// A Pool is safe for concurrent use; a connection carries one request at a time.
package backend

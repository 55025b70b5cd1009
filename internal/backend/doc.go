// Package backend sends requests to targets over HTTP/1.1 connections that it
// keeps, and tells what became of each send.
//
// It owns the connections of one host to each target. It sends a request once
// and never repeats it; package engine decides about repeats. It guards against
// answers that belong to another request, bytes that follow an answer, answers
// that end early, connections that went silent while idle, and against opening
// more connections to a target than this host's part of the target's limit.
package backend

// Package daemon wires the decision packages into the process that runs on a
// host. Each host plays two roles: as entry host it takes a caller's request,
// plans it and merges the parts; as branch host it owns the connections to
// targets of its own place.
package daemon

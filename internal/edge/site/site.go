// Package site holds what a process of the platform edge learns from its
// settings file, whatever format that file has.
package site

import "time"

// Settings of one host.
type Settings struct {
	Name   string
	IP     string
	Place  string
	Region string

	CallerAddress    string // requests of callers
	ReadyAddress     string // readiness checks
	PeerAddress      string // state exchange between hosts
	DirectoryAddress string // callers ask here where to connect
	StoreAddress     string // the platform's metadata store
	GossipPort       uint16 // UDP port of heartbeats, the same on all hosts

	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Seeds are peer addresses of some hosts. They may be stale.
	Seeds []string

	MemoryLimitBytes   int64   // limit of the process
	CPUCores           float64 // cores, with fractions
	LinkBytesPerSecond float64 // bytes per second of the host's link; 0 if not stated

	GracePeriod   time.Duration // from SIGTERM to SIGKILL
	DrainBound    time.Duration // within which a leaving target gets nothing more
	ConfigBound   time.Duration // within which a configuration is in force
	EntriesTTLMax time.Duration // longest time that callers keep a directory answer

	// RetryRatio, RetrySlack and RetryWindow bound the extra sends to a service
	// by all hosts together: in any window at most the ratio times the requests
	// plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

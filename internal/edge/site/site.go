// Package site defines the settings of one host on the users' platform,
// independently of the format of the platform's settings file: the host's name, place
// and addresses, the addresses of the metadata store and of some peers, the limits of
// memory, CPU and link, the periods and bounds of shutdown, drain and configuration
// changes, and the budget of retries and hedges. It does not read or validate them.
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
	DirectoryAddress string // directory queries of callers
	StoreAddress     string // the platform's metadata store
	GossipPort       uint16 // UDP port of heartbeats, the same on all hosts

	// FirstStart is set when the whole fleet starts for the first time, before there
	// are callers.
	FirstStart bool
	// Seeds are peer addresses of some hosts. They may be out of date.
	Seeds []string

	MemoryLimitBytes   int64   // memory limit of the process; 0 if not stated
	MaxDescriptors     int     // limit of open descriptors; 0 if not stated
	CPUCores           float64 // CPU limit of the process; may be fractional
	LinkBytesPerSecond float64 // bandwidth of the host's link; 0 if not stated

	GracePeriod   time.Duration // from SIGTERM to SIGKILL
	DrainBound    time.Duration // within which a draining target stops getting sends
	ConfigBound   time.Duration // within which a new configuration is in force
	EntriesTTLMax time.Duration // longest TTL of a directory answer; positive in a settings file, 0 sets no limit

	// RetryRatio, RetrySlack and RetryWindow define the budget of extra sends to a
	// service, hedges and retries, for all hosts together: in any RetryWindow at most
	// RetryRatio times the requests plus RetrySlack extra sends.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// QuotaWindow, QuotaOvershoot and QuotaSlack define how exactly the rate limits of tenants
	// must hold over all hosts: in any QuotaWindow, the requests of a tenant may exceed its
	// rate times the window plus its burst by the fraction QuotaOvershoot plus QuotaSlack
	// requests. All are 0 if not stated.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
}

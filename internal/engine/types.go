package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// Request is a caller's request.
type Request struct {
	backend.Request
	Path     string        // decoded, without the query
	Timeout  time.Duration // how long the caller waits; 0 if it did not say
	Received time.Time     // when its head had been read
}

// NoRoute is the reason of a request that the configuration does not allow.
const NoRoute outcome.Reason = "no_route"

// Answer is what a caller gets. Exactly one of Forwarded and Merged is set if the
// outcome is Answered or Partial; Forwarded may also hold a target's own failure.
type Answer struct {
	Outcome   outcome.Outcome
	Forwarded *backend.Result
	Merged    *Merged
}

// Merged is the answer to a fan-out.
type Merged struct {
	Digests []string // the targets' digests of the parts
	Missing int      // shards left out
	Records []byte
}

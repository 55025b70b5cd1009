package engine

import (
	"time"

	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Request is a caller's request.
type Request struct {
	backend.Request
	Path     string        // path of the URI, without the query string
	Timeout  time.Duration // how long the caller waits; 0 if not stated
	Received time.Time     // when the head of the request had been read
	// Credential is what the request says about its caller.
	Credential tenant.Credential
}

// Reasons of refusals that only the engine has.
const (
	NoRoute    outcome.Reason = "no_route"    // no route matches the request
	UnknownKey outcome.Reason = "unknown_key" // the request carries no valid key
	OverQuota  outcome.Reason = "over_quota"  // the request exceeds the rate limit of its tenant
	NoToken    outcome.Reason = "no_token"    // this host does not know whether the rate limit allows the request
)

// Answer is the answer to a caller. Exactly one of Forwarded and Merged is set if the
// outcome is Answered or Partial; Forwarded may also hold a target's own failure.
type Answer struct {
	Outcome   outcome.Outcome
	Forwarded *backend.Result
	Merged    *Merged
	Tenant    string     // of the request; empty if it has none
	Status    int        // HTTP status that the caller got; the front sets it before Done
	engine    *Engine    // nil for an answer that no engine gave
	execution *execution // nil for a request that was refused before its execution
}

// Source is whose answer a caller got.
type Source string

// Sources of answers.
const (
	FromTarget Source = "target" // the answer of a target, passed on unchanged
	FromMerge  Source = "merge"  // the merged answer to a fan-out
	FromHost   Source = "host"   // this host's own answer
)

// Source returns whose answer the caller gets.
func (a *Answer) Source() Source {
	switch {
	case a.Forwarded != nil:
		return FromTarget
	case a.Merged != nil:
		return FromMerge
	default:
		return FromHost
	}
}

// Done logs and counts the answer and frees its memory; it must not be used after it.
func (a *Answer) Done() {
	if a.engine != nil {
		a.engine.cfg.Observer.Answered(a)
	}
	if a.execution != nil {
		a.execution.delivered(a)
	}
	if a.Forwarded != nil {
		a.Forwarded.Release()
	}
}

// Merged is the answer to a fan-out.
type Merged struct {
	Digests []string // the targets' digests of the parts, in the order of the shards
	Missing int      // number of shards without a part
	Records []byte
}

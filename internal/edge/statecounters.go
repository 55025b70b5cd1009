package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/published"
)

// failureReason is why a call of the store brought nothing.
type failureReason string

// Failure reasons.
const (
	failedCompacted failureReason = "compacted" // the store no longer has the history
	failedTooLarge  failureReason = "too_large"
	failedTimeout   failureReason = "timeout"
	failedOther     failureReason = "other"
)

var failureReasons = []failureReason{failedCompacted, failedTooLarge, failedTimeout, failedOther}

// stateCounters count what came of the answers of the store and the reports of peers.
type stateCounters struct {
	byStore, byPeers atomic.Int64 // confirmations of the state in use
	rollbacks        atomic.Int64 // times that the store came back from an older copy
	failures         [4]atomic.Int64
	discards         [8]atomic.Int64
}

// discarded returns the number of answers of the store that were discarded for a reason.
func (c *stateCounters) discarded(reason published.Discard) *atomic.Int64 {
	return &c.discards[slices.Index(published.Discards, reason)]
}

// failed returns the number of failed calls for a reason.
func (c *stateCounters) failed(reason failureReason) *atomic.Int64 {
	for i, r := range failureReasons {
		if r == reason {
			return &c.failures[i]
		}
	}
	return &c.failures[len(failureReasons)-1]
}

// reasonOf returns why a call of the store failed.
func reasonOf(store Store, err error) failureReason {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case store.Compacted(err):
		return failedCompacted
	case errors.As(err, &tooLarge):
		return failedTooLarge
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return failedTimeout
	default:
		return failedOther
	}
}

package engine

import (
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

const (
	// silentCrashWindow is the time after the start of a send without an answer within which
	// the end of its target counts as a crash during the request. An entry of a target that
	// crashed stays in the store for some seconds.
	silentCrashWindow = 10 * time.Second
	// maxUnansweredSends bounds the sends without an answer that are kept for a target.
	maxUnansweredSends = 16
	// maxReported bounds the crashes, and the refusals, that are reported in one heartbeat.
	maxReported = 8
)

// unansweredSend is a request that got no answer from a target before its deadline.
type unansweredSend struct {
	crash quarantine.Crash
	began time.Time
}

// CrashCounts counts the evidence of requests that crash their targets.
type CrashCounts struct {
	BrokenSends atomic.Int64 // sends whose connection the target closed before its answer
	Crashes     atomic.Int64 // crashes that this host counted against a request
	FromPeers   atomic.Int64 // crashes that other hosts reported first
	Refused     atomic.Int64 // requests refused because they crash their targets
}

// CrashCounts returns the counters of crashes.
func (e *Engine) CrashCounts() *CrashCounts { return &e.crashCounts }

// fingerprint hashes what is the same each time a caller sends a request: method,
// host name, URI and body, but not its ID.
func fingerprint(r *Request) quarantine.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return quarantine.Fingerprint(h.Sum64())
}

// fingerprint returns the fingerprint of the request. The engine's lock must be held.
func (x *execution) fingerprint() quarantine.Fingerprint {
	if x.requestFingerprint == 0 {
		x.requestFingerprint = fingerprint(x.r)
	}
	return x.requestFingerprint
}

func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// crashOf returns the crash of a target during the request. The engine's lock must be
// held.
func (x *execution) crashOf(t *target) quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: x.fingerprint(), Attempt: xxhash.Sum64String(x.r.ID),
		Target: t.processHash(), Service: serviceHash(t.service),
	}
}

// observeCrash records what the result of a send tells about crashes: a target that closes
// the connection before its answer may have crashed, and one that does not answer has if it
// turns out to have ended. The engine's lock must be held.
func (e *Engine) observeCrash(x *execution, t *target, r *backend.Result, now time.Time) {
	switch {
	case r.Kind == backend.Broken && closedByPeer(r.Err):
		e.crashCounts.BrokenSends.Add(1)
		e.countCrash(t, x.crashOf(t), now)
	case r.Kind == backend.TimedOut:
		t.unanswered = append(t.unanswered, unansweredSend{x.crashOf(t), now.Add(-r.Duration)})
		t.unanswered = t.unanswered[max(0, len(t.unanswered)-maxUnansweredSends):]
		if t.ended {
			e.targetEnded(t, now)
		}
	case r.Kind == backend.NotSent && !r.LocalCause && errors.Is(r.Err, syscall.ECONNREFUSED):
		e.targetEnded(t, now)
	case r.Kind == backend.Success, r.Kind == backend.Failure:
		t.unanswered = nil
		if e.crashCounter.HasCrashes() {
			e.crashCounter.Answered(now, x.fingerprint(), serviceHash(t.service))
		}
	case r.Kind == backend.Refused:
		t.unanswered = nil
	}
}

// closedByPeer reports whether the target's side closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// targetEnded counts a crash against each request that a target left unanswered lately,
// because its process has ended. The engine's lock must be held.
func (e *Engine) targetEnded(t *target, now time.Time) {
	for _, u := range t.unanswered {
		if now.Sub(u.began) <= silentCrashWindow {
			e.countCrash(t, u.crash, now)
		}
	}
	t.unanswered = nil
}

// countCrash counts a crash of a target against a request. The engine's lock must be held.
func (e *Engine) countCrash(t *target, c quarantine.Crash, now time.Time) {
	refused := e.crashCounter.Refused(now, c.Fingerprint)
	if !e.crashCounter.Add(now, c) {
		return
	}
	e.crashCounts.Crashes.Add(1)
	e.cfg.Log.Info("a target closed its connection, or ended, during a request", "fingerprint", uint64(c.Fingerprint), "target", t.id, "service", t.service)
	if !refused && e.crashCounter.Refused(now, c.Fingerprint) {
		e.cfg.Log.Warn("a request crashes its targets and is refused from now on", "fingerprint", uint64(c.Fingerprint), "target", t.id)
	}
}

// CrashReport returns what to report to other hosts in a heartbeat.
func (e *Engine) CrashReport() quarantine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCounter.Report(time.Now(), maxReported)
}

// ImportCrashes takes what another host reported.
func (e *Engine) ImportCrashes(report quarantine.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashCounts.FromPeers.Add(int64(e.crashCounter.Import(time.Now(), report)))
}

// Refusals returns the requests that are refused now because they crash their targets.
func (e *Engine) Refusals() []quarantine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCounter.Refusals(time.Now())
}

// admitSuspect reports whether a request may be sent although it may crash its targets,
// and if not, how long it is refused.
func (e *Engine) admitSuspect(r *Request) (admitted bool, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashCounter.HasCrashes() {
		return true, 0
	}
	admitted, left = e.crashCounter.Admit(time.Now(), fingerprint(r))
	if !admitted {
		e.crashCounts.Refused.Add(1)
	}
	return admitted, left
}

// quarantined reports whether the request came to be refused since it was admitted. The
// engine's lock must be held.
func (x *execution) quarantined(now time.Time) bool {
	return x.e.crashCounter.HasCrashes() && x.e.crashCounter.Refused(now, x.fingerprint())
}

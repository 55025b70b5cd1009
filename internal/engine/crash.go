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
	// crashWindow is the time within which all connections to a target break when its
	// process ends.
	crashWindow = 30 * time.Millisecond
	// crashConfirmWindow is the time after a broken connection within which a refused
	// connection confirms that the target crashed.
	crashConfirmWindow = time.Second
	// maxReportedCrashes bounds the crashes reported in one heartbeat.
	maxReportedCrashes = 8
)

// brokenSend is a request whose connection ended before its answer.
type brokenSend struct {
	crash quarantine.Crash
	at    time.Time
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

// detectCrash records a crash of a target when two of its connections are closed by the
// target within crashWindow, or when one is and a new connection is then refused. One
// broken connection alone is no evidence of a crash, and a successful answer discards
// it. The engine's lock must be held.
func (e *Engine) detectCrash(x *execution, t *target, r *backend.Result, now time.Time) {
	switch {
	case r.Kind == backend.Broken && closedByPeer(r.Err):
		e.crashCounts.BrokenSends.Add(1)
		crashed := len(t.brokenSends) > 0 && now.Sub(t.brokenSends[len(t.brokenSends)-1].at) < crashWindow
		t.brokenSends = append(t.brokenSends, brokenSend{at: now, crash: quarantine.Crash{
			Fingerprint: fingerprint(x.r), Attempt: xxhash.Sum64String(x.r.ID),
			Target: xxhash.Sum64String(t.id) + uint64(t.entry.Started),
		}})
		if crashed {
			e.confirmCrash(t, now)
		}
	case r.Kind == backend.NotSent && !r.LocalCause && errors.Is(r.Err, syscall.ECONNREFUSED):
		e.confirmCrash(t, now)
	case r.Kind == backend.Success:
		t.brokenSends = nil
	}
}

// closedByPeer reports whether the target's side closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// confirmCrash counts a crash against each request whose connection to the target broke
// at most crashConfirmWindow ago. The engine's lock must be held.
func (e *Engine) confirmCrash(t *target, now time.Time) {
	for _, b := range t.brokenSends {
		if now.Sub(b.at) > crashConfirmWindow || !e.crashCounter.Add(now, b.crash) {
			continue
		}
		e.crashCounts.Crashes.Add(1)
		e.cfg.Log.Info("a target crashed during a request", "fingerprint", uint64(b.crash.Fingerprint), "target", t.id, "service", t.service)
		if e.crashCounter.ShouldRefuse(now, b.crash.Fingerprint) {
			e.cfg.Log.Warn("a request crashes its targets and is refused from now on", "fingerprint", uint64(b.crash.Fingerprint), "target", t.id)
		}
	}
	t.brokenSends = nil
}

// RecentCrashes returns the latest crashes, at most 8, to report to other hosts.
func (e *Engine) RecentCrashes() []quarantine.Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCounter.Recent(time.Now(), maxReportedCrashes)
}

// AddCrashes counts the crashes that another host reported.
func (e *Engine) AddCrashes(crashes []quarantine.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, c := range crashes {
		if e.crashCounter.Add(now, c) {
			e.crashCounts.FromPeers.Add(1)
		}
	}
}

// isQuarantined reports whether a request is refused because it crashes its targets.
func (e *Engine) isQuarantined(r *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.crashCounter.HasCrashes() && e.crashCounter.ShouldRefuse(time.Now(), fingerprint(r))
	if refused {
		e.crashCounts.Refused.Add(1)
	}
	return refused
}

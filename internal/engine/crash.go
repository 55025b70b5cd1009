package engine

import (
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/backend"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
)

const (
	// togetherLimit is the time within which connections of one target break if its
	// process ends.
	togetherLimit = 30 * time.Millisecond
	// crashConfirm is the time after a broken connection within which a refused one
	// shows that the target had crashed.
	crashConfirm = time.Second
	// toldCrashes bounds the crashes in one heartbeat.
	toldCrashes = 8
)

// brokenSend is a request whose connection ended before its answer.
type brokenSend struct {
	crash quarantine.Crash
	at    time.Time
}

// fingerprint identifies a request that a caller sends again.
func fingerprint(r *Request) quarantine.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return quarantine.Fingerprint(h.Sum64())
}

// observeCrash follows the signs that a target has crashed: several connections
// that end together, or one that ends and the next that is refused. A lost answer
// alone is none. The engine's lock must be held.
func (e *Engine) observeCrash(x *execution, t *target, r *backend.Result, now time.Time) {
	switch {
	case r.Kind == backend.Broken && endedByPeer(r.Err):
		crashed := len(t.broken) > 0 && now.Sub(t.broken[len(t.broken)-1].at) < togetherLimit
		t.broken = append(t.broken, brokenSend{at: now, crash: quarantine.Crash{
			Fingerprint: fingerprint(x.r), Attempt: xxhash.Sum64String(x.r.ID),
			Target: xxhash.Sum64String(t.id) + uint64(t.entry.Started),
		}})
		if crashed {
			e.confirmCrash(t, now)
		}
	case r.Kind == backend.NotSent && !r.Busy && errors.Is(r.Err, syscall.ECONNREFUSED):
		e.confirmCrash(t, now)
	case r.Kind == backend.Success:
		t.broken = nil
	}
}

func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (e *Engine) confirmCrash(t *target, now time.Time) {
	for _, b := range t.broken {
		if now.Sub(b.at) > crashConfirm || !e.tally.Add(now, b.crash) {
			continue
		}
		if e.tally.ShouldRefuse(now, b.crash.Fingerprint) {
			e.cfg.Log.Warn("a request crashes its targets and is refused from now on", "fingerprint", uint64(b.crash.Fingerprint), "target", t.id)
		}
	}
	t.broken = nil
}

// RecentCrashes returns the crashes to tell other hosts.
func (e *Engine) RecentCrashes() []quarantine.Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.Recent(time.Now(), toldCrashes)
}

// AddCrashes takes the crashes that another host told.
func (e *Engine) AddCrashes(crashes []quarantine.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, c := range crashes {
		e.tally.Add(now, c)
	}
}

// deadly reports whether a request is known to crash its targets.
func (e *Engine) deadly(r *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.HasCrashes() && e.tally.ShouldRefuse(time.Now(), fingerprint(r))
}

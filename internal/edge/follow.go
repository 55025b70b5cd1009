package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/guard"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
	"github.com/lacewingyard/lacewingyard/pkg/published"
)

const (
	// defaultChangeBound is the time within which changes must be in force if the
	// settings do not state it.
	defaultChangeBound = 3 * time.Second
	// minCallInterval is the shortest time between the starts of two store calls.
	minCallInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failed store
	// calls, before the random factor of 0.5 to 1.5.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// firstStartDelay is how long a host waits for peers at least when the whole fleet
	// starts for the first time, before there are callers.
	firstStartDelay = time.Second
	// initialReadInterval is the time between the starts of two reads while a host
	// has no state. These reads overlap: a read that hangs on an unavailable store
	// does not notice its recovery, and reads cancelled early never complete while
	// the store is slow.
	initialReadInterval = 400 * time.Millisecond
	// standbyCheckInterval is how often a host that does not call the store checks
	// whether it has to.
	standbyCheckInterval = 50 * time.Millisecond
	// emptyCheckInterval replaces standbyCheckInterval while a host has no state.
	emptyCheckInterval = 5 * time.Millisecond
)

// errPanicked stands for the error of a call of the store that panicked.
var errPanicked = errors.New("unexpected error")

// Store reads the published state from the platform's metadata store. It must be
// safe for concurrent use.
type Store interface {
	// Read returns all items.
	Read(ctx context.Context) (published.Answer, error)
	// Watch returns the changes after a revision. It returns as soon as there are
	// changes, and without any after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (published.Answer, error)
	// Compacted reports whether an error of Watch means that the store does not have
	// all changes after the revision that was passed to Watch.
	Compacted(err error) bool
	// Reset closes connections, which may have failed silently.
	Reset()
}

// Puller pulls what a host at a position lacks from a peer.
type Puller interface {
	Pull(ctx context.Context, address string, position published.Position) (published.Update, error)
}

// follower keeps the published state, here called the state, up to date: it makes the calls of
// the store and the pulls from peers that its Replica asks for, and passes on what they bring.
// It is safe for concurrent use.
type follower struct {
	store    Store
	puller   Puller
	log      hclog.Logger
	publish  func(*catalog.View)
	fleet    func(now time.Time) published.Fleet // this host's place among the others; not called with mu held
	counters stateCounters

	latestGround atomic.Pointer[published.Ground] // so that requests do not wait for mu; set by unlock

	mu           sync.Mutex
	replica      *published.Replica
	storeAnswers bool // the store answered the last call
	confirmed    bool // the state was confirmed at the last tick
	behind       behindLog
	repeats      repeatedLines
	storeCalls   int
}

// newFollower returns a follower without a state. publish is called with each new view of
// the state.
func newFollower(s *site.Settings, store Store, puller Puller, log hclog.Logger, fleet func(time.Time) published.Fleet, publish func(*catalog.View)) *follower {
	settings := published.Settings{Started: time.Now(), ChangeBound: defaultChangeBound, ReadDraw: rand.Float64(), Seed: slices.Contains(s.Seeds, s.PeerAddress)}
	if s.DrainBound > 0 && s.ConfigBound > 0 {
		settings.ChangeBound = min(s.DrainBound, s.ConfigBound)
	}
	if s.FirstStart && !settings.Seed {
		settings.MinPeerWait = firstStartDelay
	}
	f := &follower{store: store, puller: puller, log: log, fleet: fleet, publish: publish, replica: published.New(settings), storeAnswers: true}
	f.latestGround.Store(&published.Ground{})
	return f
}

// ground returns what the state rests on. It does not block.
func (f *follower) ground() published.Ground { return *f.latestGround.Load() }

// unlock ends a change of the replica: it counts a new confirmation, makes the ground available
// and releases mu.
func (f *follower) unlock() {
	defer f.mu.Unlock()
	g, before := f.replica.Ground(), f.latestGround.Load()
	if g == *before {
		return
	}
	f.latestGround.Store(&g)
	switch {
	case !g.ConfirmedAt.After(before.ConfirmedAt):
	case g.ConfirmedBy == published.FromStore:
		f.counters.byStore.Add(1)
	default:
		f.counters.byPeers.Add(1)
	}
}

// isConfirmed reports whether the store confirmed the state lately.
func (f *follower) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.IsConfirmed(time.Now())
}

// rolledBack reports whether the store came back from an older copy a moment ago.
func (f *follower) rolledBack() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.RolledBack(time.Now())
}

// callCount returns the number of calls to the store.
func (f *follower) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCalls
}

// run reads and watches the store whenever this host has to, until the context ends.
func (f *follower) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		f.pullFallback(ctx, time.Now())
		call, ok := f.nextCall(time.Now())
		if !ok {
			sleep(ctx, f.checkInterval())
			continue
		}
		if call.From.Revision == 0 {
			f.readInBackground(ctx, call)
			sleep(ctx, initialReadInterval)
			continue
		}
		err := errPanicked
		guard.Run(f.log, "call of the store", func() { err = f.call(ctx, call) })
		if err != nil {
			f.handleFailure(err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		sleep(ctx, minCallInterval-time.Since(call.Began))
	}
}

// tick notices stalls of the process, and logs what changed for the state in use: whether it is
// confirmed, and whether the store has its configuration. It must be called about twice a second.
func (f *follower) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Tick(now)
	f.repeats.endQuiet(now, f.log)
	if f.replica.IsEmpty() {
		return
	}
	g := f.replica.Ground()
	f.behind.log(now, &g, f.log)
	confirmed := f.replica.IsConfirmed(now)
	if confirmed == f.confirmed {
		return
	}
	f.confirmed = confirmed
	fields := []any{"config", g.ConfigVersion, "era", g.Era, "revision", g.Revision, "confirmed_by", g.ConfirmedBy, "confirmed_ms_ago", now.Sub(g.ConfirmedAt).Milliseconds()}
	if confirmed {
		f.log.Info("the state in use is confirmed", fields...)
	} else {
		f.log.Warn("the state in use is no longer confirmed; it stays in use", fields...)
	}
}

// nextCall returns the call of the store to make now, and counts it.
func (f *follower) nextCall(now time.Time) (published.Call, bool) {
	fleet := f.fleet(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	call, ok := f.replica.NextCall(now, fleet)
	if ok {
		f.storeCalls++
	}
	return call, ok
}

// checkInterval returns how often a host that does not call the store checks whether
// it has to.
func (f *follower) checkInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.IsEmpty() {
		return emptyCheckInterval
	}
	return standbyCheckInterval
}

// readInBackground makes a call without waiting for earlier ones.
func (f *follower) readInBackground(ctx context.Context, call published.Call) {
	go guard.Run(f.log, "read of the store", func() {
		if err := f.call(ctx, call); err != nil {
			f.handleFailure(err)
		}
	})
}

// call makes a call of the store and takes over the answer.
func (f *follower) call(ctx context.Context, call published.Call) error {
	limited, cancel := context.WithTimeout(ctx, call.Limit)
	defer cancel()
	var answer published.Answer
	var err error
	if call.Whole {
		answer, err = f.store.Read(limited)
	} else {
		answer, err = f.store.Watch(limited, call.From.Revision, call.Wait)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	taken, err := f.replica.TakeAnswer(time.Now(), call, answer)
	f.storeAnswers = true
	position := f.replica.Position()
	f.unlock()
	f.note(taken, position, answer)
	if call.Whole && taken.Discarded == "" {
		f.logFirst(hclog.Info, "read the whole state from the store", "", "era", answer.Era, "revision", answer.Revision, "items", len(answer.Items), "ms", time.Since(call.Began).Milliseconds())
	}
	f.publishTaken(taken, position)
	return err
}

// publishTaken publishes the state if it changed.
func (f *follower) publishTaken(t published.Taken, position published.Position) {
	if t.Before != (published.Position{}) {
		f.counters.rollbacks.Add(1)
		f.log.Warn("the store came back from an older copy; what it lost stays in use until it is written again",
			"era", position.Era, "revision", position.Revision, "config", position.ConfigVersion,
			"before_era", t.Before.Era, "before_revision", t.Before.Revision)
	}
	if t.View != nil {
		f.publish(t.View)
	}
}

// note logs and counts what came of an answer of the store.
func (f *follower) note(t published.Taken, position published.Position, answer published.Answer) {
	if t.Away > 0 {
		f.log.Info("the store answers again", "away_ms", t.Away.Milliseconds(), "revision", position.Revision)
	}
	if t.Discarded == "" {
		return
	}
	f.counters.discarded(t.Discarded).Add(1)
	f.logFirst(hclog.Warn, "an answer of the store does not confirm the state in use", string(t.Discarded), "answer_era", answer.Era,
		"answer_revision", answer.Revision, "era", position.Era, "revision", position.Revision)
}

// logFirst logs a line if no line with the same message and reason was due lately, and counts it
// otherwise. The reason may be empty.
func (f *follower) logFirst(level hclog.Level, message, reason string, fields ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logFirstLocked(level, message, reason, fields...)
}

// logFirstLocked is logFirst for callers that hold mu.
func (f *follower) logFirstLocked(level hclog.Level, message, reason string, fields ...any) {
	if !f.repeats.isFirst(time.Now(), message, reason) {
		return
	}
	if reason != "" {
		fields = append([]any{"reason", reason}, fields...)
	}
	f.log.Log(level, message, fields...)
}

// handleFailure resets the store's connections after a failed call and logs the
// first of consecutive failures. A history that the store does not have, or cannot send in one
// answer, requires a read of the whole state.
func (f *follower) handleFailure(err error) {
	f.store.Reset()
	reason := reasonOf(f.store, err)
	f.counters.failed(reason).Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if reason == failedCompacted || reason == failedTooLarge {
		f.replica.HistoryLost()
		f.logFirstLocked(hclog.Info, "the store cannot tell the changes after this revision; the whole state is read", string(reason), "revision", f.replica.Position().Revision)
		return
	}
	if f.storeAnswers {
		f.storeAnswers = false
		g := f.replica.Ground()
		f.log.Warn("the store does not answer", "error", err, "revision", g.Revision, "confirmed_ms_ago", time.Since(g.ConfirmedAt).Milliseconds())
	}
}

// expire drops what did not register again after an outage or a rollback of the store.
func (f *follower) expire() {
	f.mu.Lock()
	view := f.replica.Expire(time.Now())
	f.unlock()
	if view != nil {
		f.publish(view)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

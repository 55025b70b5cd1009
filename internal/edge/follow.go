package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/edge/site"
	"github.com/lacewingyard/lacewingyard/internal/gossip"
	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

const (
	// StoreReaders is the number of hosts that read the store for all. Calls are priced;
	// with two, the loss of one leaves no gap.
	StoreReaders = 2
	// watchShare is the longest time of one watch, as a part of the time within
	// which changes must be in force. A silent connection is noticed after it and
	// answerLimit.
	watchShare = 1.0 / 3
	// staleShare is the age of the last confirmation from which a host reads the
	// store itself, whoever else does, as a part of the same time.
	staleShare = 0.6
	// defaultBound is that time if the settings have none.
	defaultBound = 3 * time.Second
	// answerLimit is the time beyond the wait for which an answer is awaited.
	answerLimit = 700 * time.Millisecond
	// readLimit bounds a complete read, whose pages take a few milliseconds each
	// and fifty times as long while the store is slow.
	readLimit = 3 * time.Second
	// callGap is the least time between two calls.
	callGap = 250 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a failed call.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = time.Second
	// awayAfter is the time without an answer after which the store counts as
	// having been away, so that entries may have lapsed meanwhile.
	awayAfter = 2500 * time.Millisecond
	// firstStart is the same when the whole fleet starts for the first time, before
	// callers come.
	firstStart = time.Second
	// peersFirst is how long a host that has just started waits to hear of a peer
	// that has the state before it reads the store: a round trip between places and
	// some processor time. If all hosts have just started, nobody answers, and each
	// moment that they wait is lost to callers.
	peersFirst = 25 * time.Millisecond
	// peerPatience is how long it waits for the state of such a peer.
	peerPatience = 250 * time.Millisecond
	// blindEvery is the time between two reads of a host that knows nothing. They
	// overlap: one that waits for a store that is down does not notice its return,
	// and one that is given up early never ends while the store is slow.
	blindEvery = 400 * time.Millisecond
	// idleCheck is how often a host that does not read looks whether it must.
	idleCheck = 50 * time.Millisecond
	// blindCheck is the same of a host that knows nothing.
	blindCheck = 5 * time.Millisecond
)

// Store reads the published state.
type Store interface {
	// Read returns all items, complete up to the revision.
	Read(ctx context.Context) ([]catalog.Item, uint64, error)
	// Watch returns the changes after a revision, when there are any or after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]catalog.Item, uint64, error)
	// Compacted reports whether an error says that the history is gone.
	Compacted(err error) bool
	// Reset drops connections that may have gone silent.
	Reset()
}

// Puller reads the state of a peer.
type Puller interface {
	Pull(ctx context.Context, address string, known gossip.Position) (gossip.Update, error)
}

// follower keeps the published state up to date, from the store or from peers.
type follower struct {
	store   Store
	puller  Puller
	log     hclog.Logger
	publish func(*catalog.View)
	reads   func(now time.Time) bool // whether this host is a reader
	wait    time.Duration            // for peers, before the first read
	bound   time.Duration            // within which changes must be in force
	began   time.Time

	mu        sync.Mutex
	book      *catalog.Catalog
	confirmed time.Time // when the store last confirmed the state, directly or not
	answered  time.Time // last answer of the store to this host
	pulling   bool
	whole     bool // the next pull asks for the whole state
	recent    positions
	full      bool // a complete read is needed
	touch     bool // the store answered the last call
	calls     int
}

func newFollower(s *site.Settings, store Store, puller Puller, log hclog.Logger, reads func(time.Time) bool, publish func(*catalog.View)) *follower {
	now := time.Now()
	f := &follower{store: store, puller: puller, log: log, reads: reads, publish: publish,
		bound: defaultBound, book: catalog.New(), full: true, touch: true, answered: now, began: now}
	if s.DrainBound > 0 && s.ConfigBound > 0 {
		f.bound = min(s.DrainBound, s.ConfigBound)
	}
	switch {
	case slices.Contains(s.Seeds, s.PeerAddress):
	case s.FirstStart:
		f.wait = firstStart
	default:
		f.wait = peersFirst
	}
	return f
}

func (f *follower) watchWait() time.Duration { return time.Duration(watchShare * float64(f.bound)) }

// position returns the revision of the state and the age of its confirmation.
func (f *follower) position() (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Revision(), time.Since(f.confirmed)
}

// made returns the number of calls to the store.
func (f *follower) made() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !f.due(time.Now()) {
			sleep(ctx, f.checkEvery())
			continue
		}
		if f.blind() {
			f.readAside(ctx)
			sleep(ctx, blindEvery)
			continue
		}
		began := time.Now()
		if err := f.call(ctx); err != nil {
			f.failed(err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		backoff = firstBackoff
		sleep(ctx, callGap-time.Since(began))
	}
}

// blind reports whether nothing was read yet from the store or a peer.
func (f *follower) blind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Revision() == 0
}

// checkEvery returns how often a host that does not call looks whether it must.
func (f *follower) checkEvery() time.Duration {
	if f.blind() {
		return blindCheck
	}
	return idleCheck
}

// readAside reads the whole state beside earlier reads that have not ended.
func (f *follower) readAside(ctx context.Context) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	go func() {
		if err := f.read(ctx); err != nil {
			f.failed(err)
		}
	}()
}

// due reports whether this host should call the store now.
func (f *follower) due(now time.Time) bool {
	f.mu.Lock()
	blind, stale := f.book.Revision() == 0, now.Sub(f.confirmed) > time.Duration(staleShare*float64(f.bound))
	wait := f.wait
	if f.pulling {
		wait = max(wait, peerPatience)
	}
	f.mu.Unlock()
	if blind {
		return now.Sub(f.began) >= wait
	}
	return stale || f.reads(now)
}

func (f *follower) call(ctx context.Context) error {
	f.mu.Lock()
	full, after := f.full, f.book.Revision()
	f.calls++
	f.mu.Unlock()
	if full {
		return f.read(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, f.watchWait()+answerLimit)
	defer cancel()
	items, revision, err := f.store.Watch(limited, after, f.watchWait())
	if err != nil {
		return err
	}
	f.take(func(now time.Time) { err = f.book.ApplyChanges(now, revision, items) }, len(items) > 0)
	return err
}

func (f *follower) read(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	began := time.Now()
	items, revision, err := f.store.Read(limited)
	if err != nil {
		return err
	}
	f.take(func(now time.Time) {
		f.book.Replace(now, revision, items)
		f.full = false
	}, true)
	f.log.Info("read the whole state from the store", "revision", revision, "items", len(items), "ms", time.Since(began).Milliseconds())
	return nil
}

// take applies an answer of the store and publishes what changed.
func (f *follower) take(apply func(now time.Time), changed bool) {
	now := time.Now()
	f.mu.Lock()
	if now.Sub(f.answered) > awayAfter && now.Sub(f.confirmed) > awayAfter {
		f.book.StoreRecovered(now)
		f.log.Info("the store answers again", "away_ms", now.Sub(f.answered).Milliseconds(), "revision", f.book.Revision())
	}
	f.touch = true
	apply(now)
	f.answered, f.confirmed = now, now
	var view *catalog.View
	if changed {
		view = f.book.View()
		f.recent.add(now, f.known())
	}
	f.mu.Unlock()
	if view != nil {
		f.publish(view)
	}
}

func (f *follower) failed(err error) {
	f.store.Reset()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store.Compacted(err) {
		f.full = true
		f.log.Info("the store dropped the history after this revision; the whole state is read", "revision", f.book.Revision())
		return
	}
	if f.touch {
		f.touch = false
		f.log.Warn("the store does not answer", "error", err, "revision", f.book.Revision(),
			"confirmed_ms_ago", time.Since(f.confirmed).Milliseconds())
	}
}

// expire drops targets that did not come back after the store was away.
func (f *follower) expire() {
	f.mu.Lock()
	var view *catalog.View
	if f.book.Expire(time.Now()) {
		view = f.book.View()
	}
	f.mu.Unlock()
	if view != nil {
		f.publish(view)
	}
}

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

package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
)

const (
	// firstRollback is the time after the begin of faults before which there is no rollback, as a
	// copy has to be older than a change, and from which the next fault is the first one.
	firstRollback = 3 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy from which the store comes back.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 5 * time.Second
	// publishSlack is how much older than the begin of the last publication a copy is that lacks it.
	publishSlack = 20 * time.Millisecond
	// minOutage and maxOutage bound the time for which the store is away before a rollback.
	minOutage = 200 * time.Millisecond
	maxOutage = 1500 * time.Millisecond
	// minRewrite and maxRewrite bound the time after which a lost write is written again.
	minRewrite = 200 * time.Millisecond
	maxRewrite = 1500 * time.Millisecond
	// maxHarmlessWrites bounds the writes that change nothing and are lost, or that get the
	// revision past the one that hosts know.
	maxHarmlessWrites = 200
	// noticeTime is how long hosts have to see such writes before the store goes away.
	noticeTime = 500 * time.Millisecond
	// quietTime is how long the configuration does not change after some rollbacks: a change
	// brings hosts up to date that the rollback has left behind.
	quietTime = 9 * time.Second
	// maxLead is how long before a rollback the process of a host is killed at most.
	maxLead = time.Second
	// forgetTime is how long peers take to notice that a host has ended and cease to send to it,
	// and readTime how long it has to read the store after its start.
	forgetTime = roster.FailureTimeout + time.Second
	readTime   = 800 * time.Millisecond
	// aloneTime is how long a host that was started knows no peer. It ends before the host takes
	// itself for the whole fleet, and grants tenants all that their limits allow.
	aloneTime = roster.SettleTime - time.Second
	// maxHeal bounds the time after which a host that was cut off reaches the store again.
	maxHeal = 4 * time.Second
)

// rollbackForm is a course of a rollback.
type rollbackForm uint8

const (
	rollbackBehind  rollbackForm = iota // the revision stays behind the one that hosts know
	rollbackPast                        // the revision is soon past it
	rollbackTwice                       // another rollback follows
	rollbackCut                         // a host is cut off from its peers and the store
	rollbackRestart                     // a host is killed before and started after the rollback
	rollbackForms
)

// String returns the form as a word.
func (r rollbackForm) String() string {
	return [...]string{"behind", "past", "twice", "beside a cut", "beside a restart"}[r]
}

// RollbackCounts counts the rollbacks of the store.
type RollbackCounts struct {
	Rollbacks int
	Lost      int // keys of which the store lost writes
	Versions  int // rollbacks that lost a version of the configuration
	Rewritten int // lost writes that were written again; the others were overtaken by later ones
}

// String returns the counts as a part of a sentence.
func (c RollbackCounts) String() string {
	return fmt.Sprintf("%d rollbacks of the store (%d lost a configuration, %d writes lost, %d written again)", c.Rollbacks, c.Versions, c.Lost, c.Rewritten)
}

// rollbackCourse is one rollback as it was drawn.
type rollbackCourse struct {
	mode   platformtest.Mode // while the store is away; Healthy if it never is
	outage time.Duration
	age    time.Duration // of the copy
	writes int           // that change nothing, before the rollback or, if past, at once after it
	past   bool          // whether the revision is soon past the one that hosts know
	change bool          // whether the operator changes a route at once after it
	quiet  bool          // whether the configuration does not change for quietTime after it
	pause  time.Duration // until what follows
	rng    *rand.Rand
}

// drawRollback draws a rollback.
func (f *injector) drawRollback(form rollbackForm) rollbackCourse {
	c := rollbackCourse{mode: platformtest.Mode(f.rng.IntN(3)), age: f.randomDuration(minCopyAge, maxCopyAge), past: form == rollbackPast || form != rollbackBehind && f.rng.IntN(2) == 0,
		writes: 1 + f.rng.IntN(maxHarmlessWrites), change: f.rng.IntN(2) == 0, quiet: f.rng.IntN(3) > 0, pause: f.randomDuration(minRewrite, maxRewrite), rng: rand.New(rand.NewPCG(f.rng.Uint64(), 0))}
	if c.mode != platformtest.Healthy {
		c.outage = f.randomDuration(minOutage, maxOutage)
	}
	return c
}

// rollBackStore makes the store go away for a moment and come back from an older copy; what was
// lost is written again. It does nothing before firstRollback and while another rollback is going
// on.
func (f *injector) rollBackStore(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rollingBack || time.Since(f.began) < firstRollback {
		return
	}
	f.rollingBack = true
	form := rollbackForm(f.rng.IntN(int(rollbackForms)))
	h := f.rollbackHost(form)
	if h == nil && (form == rollbackCut || form == rollbackRestart) {
		form = rollbackBehind
	}
	courses := []rollbackCourse{f.drawRollback(form)}
	if form == rollbackTwice {
		courses = append(courses, f.drawRollback(rollbackForm(f.rng.IntN(2))))
	}
	lead, heal := f.randomDuration(0, maxLead), f.randomDuration(0, maxHeal)
	f.logf("rollback of the store, %v", form)
	f.wg.Go(func() {
		var endFault func() // of h
		switch form {
		case rollbackCut:
			endFault = f.isolate(ctx, h, heal)
		case rollbackRestart:
			endFault = f.killBefore(h)
			sleep(ctx, lead)
		}
		f.rollBackAll(ctx, courses, endFault)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rollingBack = false
		delete(f.faulted, h)
	})
}

// firstRollbackDue reports whether there has been no rollback although it is time for one.
func (f *injector) firstRollbackDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rollbacks.Rollbacks == 0 && !f.rollingBack && time.Since(f.began) > firstRollback
}

// rollbackHost draws the host that has a fault beside a rollback and marks it as faulted. It
// returns nil if there is to be none or the drawn host has a fault already. The lock must be held.
func (f *injector) rollbackHost(form rollbackForm) *host {
	hosts := f.fleet.hosts
	if form == rollbackCut {
		hosts = hosts[min(seeds, len(hosts)):] // the others greet seeds
	}
	if form != rollbackCut && form != rollbackRestart || len(hosts) == 0 {
		return nil
	}
	h := hosts[f.rng.IntN(len(hosts))]
	if f.faulted[h] {
		return nil
	}
	f.faulted[h] = true
	return h
}

// rollBackAll makes rollbacks and returns when what they lost has been written again. endFault,
// unless it is nil, ends the fault of a host after the first one.
func (f *injector) rollBackAll(ctx context.Context, courses []rollbackCourse, endFault func()) {
	length := maxRewrite
	for _, c := range courses {
		length += noticeTime + c.outage + c.pause
	}
	f.recordDisturbance(length)
	from := time.Now()
	var following sync.WaitGroup
	for i, c := range courses {
		lost := f.rollBackOnce(ctx, c)
		following.Go(func() { f.writeAgain(ctx, lost, c.rng) })
		if i == 0 && endFault != nil {
			following.Go(endFault)
		}
		if i < len(courses)-1 {
			sleep(ctx, c.pause)
		}
	}
	following.Wait()
	f.fleet.checker.AddStoreFault(from, f.rewrittenAt())
}

// rewrittenAt returns when the last lost write was written again or overtaken.
func (f *injector) rewrittenAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rewritten
}

// rollBackOnce makes the store go away and come back from an older copy. It returns the keys
// whose writes were lost.
func (f *injector) rollBackOnce(ctx context.Context, c rollbackCourse) []string {
	store := f.fleet.store
	if !c.past {
		f.writeHarmless(c.writes)
		sleep(ctx, noticeTime)
	}
	if c.mode != platformtest.Healthy {
		store.SetMode(c.mode)
		sleep(ctx, c.outage)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known, before := store.Revision(), time.Now()
	// The copy lacks the latest version of the configuration unless it would be too old then.
	age := max(c.outage+c.age, time.Since(f.fleet.publishedAt)+publishSlack)
	lost := store.RollBack(min(age, maxCopyAge, before.Sub(f.began)))
	revision, version := store.Revision(), storedVersion(store)
	if _, ok := lost[platformtest.ConfigKey]; ok {
		f.fleet.checker.HoldVersion(before, time.Now(), version)
		f.rollbacks.Versions++
	}
	f.rollbacks.Rollbacks++
	f.rollbacks.Lost += len(lost)
	maps.Copy(f.unwritten, lost)
	f.rewritten = time.Now()
	f.logf("the store in mode %d for %v is back in era %d at revision %d with version %d, %d before; writes to %d keys are lost",
		c.mode, c.outage, store.Era(), revision, version, known, len(lost))
	if c.change {
		f.changeRoute(c.rng)
	}
	if c.past {
		f.writeHarmless(int(known-revision) + c.writes)
	}
	if c.quiet {
		f.quietUntil = time.Now().Add(quietTime)
	}
	store.SetMode(platformtest.Healthy)
	return lost.Keys()
}

// writeHarmless makes writes that change nothing for hosts.
func (f *injector) writeHarmless(count int) {
	t := f.fleet.routes.targets[0]
	for range count {
		f.fleet.store.Put(t.Key(), t.Entry("ready"))
	}
}

// storedVersion returns the version of the configuration that the store has.
func storedVersion(store *platformtest.Store) uint64 {
	var document struct {
		Version uint64 `json:"config_version"`
	}
	if err := json.Unmarshal(store.Value(platformtest.ConfigKey), &document); err != nil {
		panic(err) // the injector wrote it before the first rollback
	}
	return document.Version
}

// writeAgain writes lost writes again, each after a time of its own, unless later ones have
// overtaken them.
func (f *injector) writeAgain(ctx context.Context, lost []string, rng *rand.Rand) {
	began := time.Now()
	after := map[string]time.Duration{}
	for _, key := range lost {
		after[key] = minRewrite + time.Duration(rng.Int64N(int64(maxRewrite-minRewrite)))
	}
	slices.SortFunc(lost, func(a, b string) int { return cmp.Compare(after[a], after[b]) })
	for _, key := range lost {
		sleep(ctx, time.Until(began.Add(after[key])))
		f.writeKeyAgain(key)
	}
}

// writeKeyAgain writes the lost write to a key again.
func (f *injector) writeKeyAgain(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.unwritten[key]; !ok {
		return // lost twice, and written again since
	}
	before := time.Now()
	if f.fleet.store.WriteAgainIfLatest(f.unwritten, key) {
		f.rollbacks.Rewritten++
		if key == platformtest.ConfigKey {
			f.fleet.checker.HoldVersion(before, time.Now(), storedVersion(f.fleet.store))
		}
	}
	delete(f.unwritten, key)
	f.rewritten = time.Now()
}

// killBefore kills a host. The returned function starts it again.
func (f *injector) killBefore(h *host) (start func()) {
	f.logf("kill %s", h.Name)
	from := time.Now()
	h.kill()
	return func() {
		f.restart(h)
		f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), from, time.Now())
	}
}

// isolate makes a host know no other host and be known to none for aloneTime, which takes a
// restart, and cuts it off from the store. The returned function connects it to the store after a
// time.
func (f *injector) isolate(ctx context.Context, h *host, heal time.Duration) (reconnect func()) {
	f.logf("%s is cut off from its peers", h.Name)
	f.recordDisturbance(forgetTime + aloneTime)
	from := time.Now()
	h.kill()
	f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), from, from.Add(forgetTime+aloneTime))
	sleep(ctx, forgetTime)
	all := h.Seeds
	f.setSeeds(h, []string{h.IP})
	f.restart(h)
	var alone sync.WaitGroup
	alone.Go(func() {
		sleep(ctx, aloneTime)
		f.setSeeds(h, all)
		h.signal(syscall.SIGHUP)
		f.logf("%s is connected to its peers again", h.Name)
	})
	sleep(ctx, readTime)
	f.logf("%s is cut off from the store", h.Name)
	h.storeProxy.SetMode(Blackhole)
	return func() {
		alone.Wait()
		f.recordDisturbance(heal)
		sleep(ctx, heal)
		h.storeProxy.SetMode(Healthy)
		f.logf("%s is connected to the store again", h.Name)
		f.fleet.checker.AddHostFault(h.Address(h.Ports.Callers), from, time.Now())
	}
}

// setSeeds writes the settings of a host with other seeds.
func (f *injector) setSeeds(h *host, seeds []string) {
	h.Seeds = seeds
	if err := os.WriteFile(h.settingsFile, []byte(h.Settings()), 0o600); err != nil {
		f.logf("writing the settings of %s failed: %v", h.Name, err)
	}
}

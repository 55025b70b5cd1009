package daemon

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// config holds the configuration in force. A new host collects documents from
// the service and from peers and puts the newest in force when it has asked
// them, so that a stale service does not revert it.
type config struct {
	published
	log              hclog.Logger
	self             *settings.Process
	checked          *settings.Tree // passed the check last; guarded by published.mu
	current          atomic.Pointer[settings.Tree]
	shareAssignments atomic.Pointer[map[string]membership.ShareAssignment] // of the targets that this host owns
	historyHash      uint64                                                // of the configuration in force; guarded by published.mu
	inForceSince     atomic.Int64                                          // when it came into force, Unix nanoseconds
	loaded           chan struct{}                                         // closed when a configuration is in force

	// ready reports whether this host may start work; nil means always.
	ready func() bool
	// confirmed reports whether the state is fully confirmed; nil means always.
	confirmed func() bool
	// onInForce is told the version in force or refused; nil tells nobody.
	onInForce func(version uint64)
	// agreed reports whether all hosts have come to a historyHash; nil means no.
	historyAgreed func(historyHash uint64) bool
	// onHistory is told the historyHash and the number of host ordinals in force; nil
	// tells nobody.
	onHistory func(historyHash uint64, ordinals int)
}

func newConfig(self *settings.Process, log hclog.Logger) *config {
	c := &config{self: self, log: log, loaded: make(chan struct{})}
	c.init(c.check, c.activate, true)
	return c
}

// tree returns the configuration in force; nil before the first one.
func (c *config) tree() *settings.Tree { return c.current.Load() }

// refusal returns the outcome with which new work is refused while this host
// may not start any, because it was paused, replaced or has no confirmation.
func (c *config) refusal() (outcome.Outcome, bool) {
	if c.ready == nil || c.ready() {
		return outcome.Outcome{}, false
	}
	return outcome.Refused(outcome.Unavailable, "host %s has not confirmed its state", c.self.Name), true
}

// commandRefusal is refusal for a request that may not be repeated: it also
// waits for a full confirmation after a start or a pause.
func (c *config) commandRefusal() (outcome.Outcome, bool) {
	if refused, ok := c.refusal(); ok {
		return refused, true
	}
	if c.confirmed == nil || c.confirmed() {
		return outcome.Outcome{}, false
	}
	return outcome.Refused(outcome.Unavailable, "host %s runs no commands before its state is fully confirmed", c.self.Name), true
}

// workRefusal is the refusal that applies to a request to a target.
func (c *config) workRefusal(once bool) (outcome.Outcome, bool) {
	if once {
		return c.commandRefusal()
	}
	return c.refusal()
}

func (c *config) check(raw []byte) (uint64, error) {
	tree, err := settings.Parse(raw)
	if err != nil {
		c.log.Error("configuration refused", "error", err)
		return 0, err
	}
	c.checked = tree
	return tree.Doc.Version, nil
}

func (c *config) activate() {
	// A document that passed the check but was older may be in checked.
	tree := c.checked
	if digest := c.state.Position().Digest; tree.Digest != digest {
		var err error
		if tree, err = settings.Parse(c.state.Raw()); err != nil {
			panic(err) // broken invariant: the state holds only checked documents
		}
	}
	old := c.current.Load()
	c.updateShareAssignments(old, tree)
	c.current.Store(tree)
	c.inForceSince.Store(time.Now().UnixNano())
	c.checked = nil
	c.log.Info("configuration in force", "version", tree.Doc.Version)
	if c.onInForce != nil {
		c.onInForce(tree.Doc.Version)
	}
	if c.onHistory != nil {
		ordinals := 0
		for _, p := range tree.Doc.Places {
			ordinals += p.Hosts
		}
		c.onHistory(c.historyHash, ordinals)
	}
	if old == nil {
		close(c.loaded)
	}
}

// updateShareAssignments sets since when this host owns each of its targets. The first
// configuration gives it its targets since ever.
func (c *config) updateShareAssignments(old, tree *settings.Tree) {
	now, agreed := time.Now(), c.historyAgreed != nil && c.historyAgreed(c.historyHash)
	if old != nil {
		c.historyHash = membership.ConfigHistoryHash(c.timeInForce(), old.Digest, tree.Digest)
	}
	assignments := map[string]membership.ShareAssignment{}
	tree.Targets(func(t *settings.TargetInfo) {
		rank := ownership.Rank(t.Owners, c.self.Ordinal)
		if t.Place != c.self.Place || rank < 0 {
			return
		}
		if old == nil {
			assignments[t.ID] = membership.ShareAssignment{}
			return
		}
		was, known := old.Target(t.ID)
		if known && was.Place == t.Place && ownership.Rank(was.Owners, c.self.Ordinal) == rank {
			assignments[t.ID] = (*c.shareAssignments.Load())[t.ID].Continue(agreed)
			return
		}
		assignments[t.ID] = membership.NewShareAssignment(now, !known, c.historyHash)
	})
	c.shareAssignments.Store(&assignments)
}

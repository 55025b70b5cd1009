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

// config holds the configuration in force. A new host collects documents from the
// configuration service and from peers and applies the newest one only after
// it has asked both, so that a stale service does not make it apply an old version.
type config struct {
	published
	log              hclog.Logger
	self             *settings.Process
	checked          *settings.Tree // the last one that passed validation; guarded by published.mu
	current          atomic.Pointer[settings.Tree]
	shareAssignments atomic.Pointer[map[string]membership.ShareAssignment] // by identifier of the targets that this host owns
	historyHash      uint64                                                // of the configuration in force; guarded by published.mu
	inForceSince     atomic.Int64                                          // when the configuration came into force, Unix nanoseconds; 0 before the first
	loaded           chan struct{}                                         // closed when a configuration is in force

	// ready reports whether this host may start work; nil means always.
	ready func() bool
	// confirmed reports whether the state of this host is fully confirmed; nil means
	// always.
	confirmed  func() bool
	hadTenants atomic.Bool // a configuration in force had tenants
	// onTenants is called with each configuration that comes into force; may be nil.
	onTenants func(tree *settings.Tree)
	// onInForce is called with each version that comes into force; may be nil.
	onInForce func(version uint64)
	// historyAgreed reports whether all hosts agree on the configuration of a history
	// hash, as membership.View.Agreed defines; nil means no.
	historyAgreed func(historyHash uint64) bool
	// onHistory is called with the history hash of each configuration that comes into
	// force and its number of host ordinals; may be nil.
	onHistory func(historyHash uint64, ordinals int)
}

func newConfig(self *settings.Process, log hclog.Logger) *config {
	c := &config{self: self, log: log, loaded: make(chan struct{})}
	c.init(c.check, c.activate, true)
	return c
}

// tree returns the configuration in force; nil before the first one.
func (c *config) tree() *settings.Tree { return c.current.Load() }

// refusal returns the outcome with which this host refuses new work and true while
// it may not start any: after a pause or a replacement, or before its state is
// confirmed. Otherwise it returns false.
func (c *config) refusal() (outcome.Outcome, bool) {
	if c.ready == nil || c.ready() {
		return outcome.Outcome{}, false
	}
	return outcome.Refused(outcome.Unavailable, "host %s has not confirmed its state", c.self.Name), true
}

// commandRefusal is like refusal, for a command. A command also requires that the
// state of this host has been fully confirmed after a start or a pause.
func (c *config) commandRefusal() (outcome.Outcome, bool) {
	if refused, ok := c.refusal(); ok {
		return refused, true
	}
	if c.confirmed == nil || c.confirmed() {
		return outcome.Outcome{}, false
	}
	return outcome.Refused(outcome.Unavailable, "host %s runs no commands before its state is fully confirmed", c.self.Name), true
}

// workRefusal returns the refusal that applies to a request to a target, or false if
// none does. once is true if the request is the lookup of a command.
func (c *config) workRefusal(once bool) (outcome.Outcome, bool) {
	if once {
		return c.commandRefusal()
	}
	return c.refusal()
}

// check validates a document and returns its version. It is called with published.mu
// held, as activate is.
func (c *config) check(raw []byte) (uint64, error) {
	tree, err := c.parse(raw)
	if err != nil {
		c.log.Error("configuration refused", "error", err)
		return 0, err
	}
	c.checked = tree
	return tree.Doc.Version, nil
}

// parse decodes a document and adds the keys of this host's settings to its tenants.
func (c *config) parse(raw []byte) (*settings.Tree, error) {
	tree, err := settings.Parse(raw)
	if err == nil {
		for _, k := range tree.AddKeys(c.self.LocalKeys) {
			c.log.Warn("a key of the settings has no effect: the configuration does not have its tenant, or gives the key to another one", "tenant", k.Tenant)
		}
	}
	return tree, err
}

// activate puts the newest accepted document in force.
func (c *config) activate() {
	// checked may be another document, which passed validation but is older than the
	// accepted one.
	tree := c.checked
	if digest := c.state.Position().Digest; tree.Digest != digest {
		var err error
		if tree, err = c.parse(c.state.Raw()); err != nil {
			panic(err) // unreachable: the state holds only documents that passed validation
		}
	}
	old := c.current.Load()
	c.updateShareAssignments(old, tree)
	c.current.Store(tree)
	if tree.HasTenants() {
		c.hadTenants.Store(true)
	}
	c.inForceSince.Store(time.Now().UnixNano())
	c.checked = nil
	c.log.Info("configuration in force", "version", tree.Doc.Version)
	if c.onTenants != nil {
		c.onTenants(tree)
	}
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

// updateShareAssignments records since when this host has owned each of its
// targets, and updates historyHash. The first configuration leaves historyHash 0, and
// its assignments have no start time.
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
		previous, known := old.Target(t.ID)
		if known && previous.Place == t.Place && ownership.Rank(previous.Owners, c.self.Ordinal) == rank {
			assignments[t.ID] = (*c.shareAssignments.Load())[t.ID].Continue(agreed)
			return
		}
		assignments[t.ID] = membership.NewShareAssignment(now, !known, c.historyHash)
	})
	c.shareAssignments.Store(&assignments)
}

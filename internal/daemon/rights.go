package daemon

import (
	"slices"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/ownership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// pinDuration is how long a host stays a contact after a rule last needed its
// acknowledgement.
const pinDuration = 10 * time.Second

// pinnedContacts returns the hosts whose acknowledgements rules need: the watchers
// of the place if this host is their substitute, and the other owners of cold
// targets. The caller holds c.mu.
func (c *control) pinnedContacts() []string {
	tree, hosts := c.config.tree(), c.directory.hosts()
	if tree == nil || hosts == nil {
		return nil
	}
	var names []string
	order := configsync.Watchers(c.self.Place, tree.Doc.Places[c.self.Place].Hosts, tree.Doc.Version)
	if ownership.Rank(order, c.self.Ordinal) == configsync.WatchersPerPlace {
		for _, ordinal := range order[:configsync.WatchersPerPlace] {
			names = append(names, hosts.byOrdinal[ordinalID{c.self.Place, ordinal}].Name)
		}
	}
	first := len(names)
	for name, at := range c.pinned {
		if time.Since(at) > pinDuration {
			delete(c.pinned, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names[first:])
	return names
}

// mayUseCold reports whether this host may use the cold allowance of a target. For
// rank 0 it makes the other owner a contact, because the rule needs a promise of that
// owner.
func (c *control) mayUseCold(t *settings.TargetInfo) bool {
	rank := ownership.Rank(t.Owners, c.self.Ordinal)
	if t.Place != c.self.Place || rank < 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(t.Owners) == 1 {
		return c.view.MayUseColdAllowance(time.Now(), rank, nil)
	}
	other := membership.OrdinalID{Place: t.Place, Ordinal: t.Owners[1-rank]}
	if hosts := c.directory.hosts(); hosts != nil && rank == 0 {
		if h, ok := hosts.byOrdinal[ordinalID{other.Place, other.Ordinal}]; ok {
			c.pinned[h.Name] = time.Now()
		}
	}
	return c.view.MayUseColdAllowance(time.Now(), rank, &other)
}

// firstProcessSettled reports whether further answers of peers can no longer change
// when this host may use its shares.
func (c *control) firstProcessSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.FirstProcessSettled()
}

// mayUseShare reports whether this host may use its share of a target.
func (c *control) mayUseShare(target string) bool {
	owned := c.config.shareAssignments.Load()
	if owned == nil {
		return false
	}
	assignment, ok := (*owned)[target]
	c.mu.Lock()
	defer c.mu.Unlock()
	return ok && c.view.MayUseShare(time.Now(), assignment)
}

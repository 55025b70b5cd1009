package daemon

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// config holds the configuration in force.
type config struct {
	log     hclog.Logger
	current atomic.Pointer[settings.Tree]
	first   chan struct{} // closed when a configuration is in force
}

func newConfig(log hclog.Logger) *config {
	return &config{log: log, first: make(chan struct{})}
}

// tree returns the configuration in force; nil before the first one.
func (c *config) tree() *settings.Tree { return c.current.Load() }

// offer puts a document in force if it is valid and newer than the current
// one. It is called by one goroutine.
func (c *config) offer(data []byte) {
	tree, err := settings.Parse(data)
	if err != nil {
		c.log.Error("configuration refused", "error", err)
		return
	}
	old := c.current.Load()
	if old != nil && tree.Doc.Version <= old.Doc.Version {
		return
	}
	c.current.Store(tree)
	c.log.Info("configuration in force", "version", tree.Doc.Version)
	if old == nil {
		close(c.first)
	}
}

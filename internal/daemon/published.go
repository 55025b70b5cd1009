package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

// published holds the newest document of one value that the platform publishes.
// Until release, documents may be held: validated and stored, but not put in force.
// It is safe for concurrent offers from the configuration service and peers.
type published struct {
	newest atomic.Pointer[configsync.Position] // of the newest document held

	mu      sync.Mutex // held while a document is validated
	state   *configsync.State
	holding bool   // accepted documents are not put in force before release
	apply   func() // puts the document that passed validation last in force
}

func (p *published) init(check configsync.Check, apply func(), holding bool) {
	p.state, p.apply, p.holding = configsync.NewState(check), apply, holding
	p.newest.Store(&configsync.Position{})
}

// position returns the position of the newest document. It does not wait for a
// validation in progress.
func (p *published) position() configsync.Position { return *p.newest.Load() }

// offerDocument validates a document from the configuration service or a peer and
// accepts it if it is newer. An accepted document comes into force at once, or is held
// until release.
func (p *published) offerDocument(raw []byte) (accepted bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, err = p.state.Offer(raw)
	if !accepted {
		return false, err
	}
	at := p.state.Position()
	p.newest.Store(&at)
	if !p.holding {
		p.apply()
	}
	return true, nil
}

// release puts the newest held document in force. From then on, each newer one comes
// into force when it is accepted. Without an accepted document release does nothing,
// and later documents are still held.
func (p *published) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holding && p.state.Raw() != nil {
		p.holding = false
		p.apply()
	}
}

// withState calls f with the state while no offer can change it.
func (p *published) withState(f func(*configsync.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.state)
}

package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

// published holds the newest document of one value that the platform publishes. It
// is safe for concurrent offers from the configuration service and peers.
type published struct {
	newest atomic.Pointer[configsync.Position] // of the newest document held

	mu         sync.Mutex // held while a document is validated
	state      *configsync.State
	collecting bool   // documents are collected and not applied yet
	apply      func() // puts the document that passed validation last in force
}

func (p *published) init(check configsync.Check, apply func(), collecting bool) {
	p.state, p.apply, p.collecting = configsync.NewState(check), apply, collecting
	p.newest.Store(&configsync.Position{})
}

// position returns the position of the newest document. It does not wait for a
// validation in progress.
func (p *published) position() configsync.Position { return *p.newest.Load() }

// offerDocument validates a document from the service or a peer and accepts it if
// it is newer. An accepted document comes into force unless documents are still
// collected.
func (p *published) offerDocument(raw []byte) (accepted bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, err = p.state.Offer(raw)
	if !accepted {
		return false, err
	}
	at := p.state.Position()
	p.newest.Store(&at)
	if !p.collecting {
		p.apply()
	}
	return true, nil
}

// release ends the collection of documents: it puts the newest one in force, and
// each newer one comes into force when it is accepted.
func (p *published) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collecting && p.state.Raw() != nil {
		p.collecting = false
		p.apply()
	}
}

// withState calls f with the state while no offer can change it.
func (p *published) withState(f func(*configsync.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.state)
}

package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

// published holds one value that the platform publishes. Offers may come from
// several goroutines: the service and any number of peers.
type published struct {
	newest atomic.Pointer[configsync.Position] // of the newest document held

	mu         sync.Mutex // held while a document is checked
	state      *configsync.State
	collecting bool   // documents are collected and not put in force yet
	apply      func() // puts the document that passed the check last in force
}

func (p *published) init(check configsync.Check, apply func(), held bool) {
	p.state, p.apply, p.collecting = configsync.NewState(check), apply, held
	p.newest.Store(&configsync.Position{})
}

// position returns the position of the newest document held. It does not wait for a
// check in progress.
func (p *published) position() configsync.Position { return *p.newest.Load() }

// offerDocument takes a document from the service or a peer.
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

// release puts the newest document in force, and each newer one from then on.
func (p *published) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collecting && p.state.Raw() != nil {
		p.collecting = false
		p.apply()
	}
}

// withState calls f while no offer changes the state.
func (p *published) withState(f func(*configsync.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.state)
}

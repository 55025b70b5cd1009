package daemon

import (
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TestNewTargetIsUsedSoon guards against owners of a new target that wait for a
// former owner, which cannot exist, or that stop using the target after an unrelated
// change. It also guards against owners that use a target at once after the target was
// removed and added again, while a former owner may still use it.
func TestNewTargetIsUsedSoon(t *testing.T) {
	s := newControlFleet(t, newDocument(3, 8, 40))
	s.startAll()
	added := settings.Target{ID: "added", Place: placeName(0), Address: "127.1.9.9:9000", Slots: 4, Connections: 36}
	put := func(doc *settings.Document) {
		doc.Services["tags"].Groups[0].Targets = append(doc.Services["tags"].Groups[0].Targets, added)
	}
	drop := func(doc *settings.Document) {
		targets := doc.Services["tags"].Groups[0].Targets
		doc.Services["tags"].Groups[0].Targets = targets[:len(targets)-1]
	}
	users := func() (n int) {
		for _, h := range s.hosts {
			if h.daemon.MayUseShare(added.ID) {
				n++
			}
		}
		return n
	}
	time.Sleep(membership.TakeoverWait + membership.PropagationLimit) // the first configuration is in force everywhere
	began := time.Now()
	s.publish(put)
	s.waitUntil(membership.PropagationLimit, "both owners use the new target", func() bool { return users() == 2 })
	t.Logf("both owners use the new target after %s", time.Since(began))

	s.publish(nextVersion)
	s.waitUntil(membership.PropagationLimit, "version 3 everywhere", func() bool { return s.inForce(3) })
	if users() != 2 {
		t.Error("the owners stopped using the new target after an unrelated change of the configuration")
	}
	s.publish(drop)
	s.waitUntil(membership.PropagationLimit, "version 4 everywhere", func() bool { return s.inForce(4) })
	s.publish(put)
	s.waitUntil(membership.PropagationLimit, "version 5 everywhere", func() bool { return s.inForce(5) })
	for end := time.Now().Add(membership.TakeoverWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := users(); n > 0 {
			t.Fatalf("%d owners use a target that was removed and added again before TakeoverWait has passed", n)
		}
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/platform"
	"github.com/lacewingyard/lacewingyard/pkg/configsync"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

func nextVersion(*settings.Document) {}

// TestConfigForward guards the invariant of the same name under a stale, a
// down and an inconsistent service, restarts on empty hosts, a partition and
// conflicting documents.
func TestConfigForward(t *testing.T) {
	s := newControlFleet(t, newDocument(3, 8, 40))
	s.startAll()
	fresh := func(version uint64) {
		t.Helper()
		s.waitUntil(membership.PropagationLimit, "the version is in force everywhere", func() bool { return s.inForce(version) })
	}
	fresh(1)

	// Different readers get different versions; most are stale.
	for at := range s.hosts {
		if at != (ordinalID{placeName(0), 0}) && at != (ordinalID{placeName(0), 1}) && at != (ordinalID{placeName(0), 2}) {
			s.platform.SetMaxVersion(readerName(at), 1)
		}
	}
	s.publish(nextVersion)
	fresh(2)

	// A host that restarts empty reads the stale version while peers know a newer one.
	restarted := ordinalID{placeName(1), 0}
	s.hosts[restarted].stop()
	s.start(restarted)
	s.publishHosts()
	fresh(2)

	// A partition: one part hears of the version when the parts are joined.
	s.setPartition(true, func(at ordinalID) bool { return at.place == placeName(0) })
	s.publish(nextVersion)
	s.waitUntil(membership.PropagationLimit, "version 3 in place 0", func() bool {
		return s.hosts[ordinalID{placeName(0), 0}].daemon.config.tree().Doc.Version == 3
	})
	s.setPartition(false, func(at ordinalID) bool { return at.place == placeName(0) })
	fresh(3)

	// The service is down: nothing stops, and a host that restarts empty at its
	// address learns from the peers that send it heartbeats.
	s.platform.SetDown(true)
	listed := s.hosts[restarted].entry
	s.hosts[restarted].stop()
	s.startAs(restarted, listed.Name, listed.Peers)
	s.waitUntil(2*membership.PropagationLimit, "the restarted host works without the service", func() bool {
		return s.inForce(3) && s.hosts[restarted].daemon.control.ready()
	})
	for at, h := range s.hosts {
		if !h.daemon.control.ready() {
			t.Errorf("host %v refuses work while the service is down", at)
		}
	}
	s.platform.SetDown(false)

	// Two documents of one version: every host ends on the same one.
	s.publish(func(doc *settings.Document) { doc.DesignatedLevel = settings.LevelService })
	fresh(4)
	s.publish(func(doc *settings.Document) {
		doc.Version, doc.DesignatedLevel = 4, settings.LevelFleet
	})
	other := ordinalID{placeName(0), 0} // reads the second document because it starts empty
	s.hosts[other].stop()
	s.start(other)
	s.publishHosts()
	s.waitUntil(membership.PropagationLimit, "one document of version 4 everywhere", func() bool {
		digests := map[uint64]bool{}
		conflicts := uint64(0)
		for _, h := range s.hosts {
			if tree := h.daemon.config.tree(); tree != nil && tree.Doc.Version == 4 {
				digests[tree.Digest] = true
			} else {
				return false
			}
			conflicts += h.daemon.control.status().Config.Conflicts
		}
		return len(digests) == 1 && conflicts > 0
	})

	// A document that does not pass its check is refused everywhere and shown.
	s.publish(func(doc *settings.Document) { doc.TargetsOut = []string{"nobody"} })
	s.waitUntil(membership.PropagationLimit, "the refusal is shown", func() bool {
		status := s.hosts[ordinalID{placeName(0), 1}].daemon.Status()
		return status.Control.Config.Refused > 0 && status.Control.LastRefusal != "" && status.ConfigVersion == 4
	})
	s.publish(func(doc *settings.Document) { doc.TargetsOut = nil })
	fresh(6)
	for _, revert := range s.applied.reverts {
		t.Error(revert)
	}
}

// TestConfigForwardFailsNaively shows that the same check fails when a host
// reads the service alone and takes what it gets.
func TestConfigForwardFailsNaively(t *testing.T) {
	s := newControlFleet(t, newDocument(1, 1, 1))
	at := ordinalID{placeName(0), 0}
	naive := func() {
		data, _, err := platform.NewClient(s.platform.ReaderURL(readerName(at), "config")).Get(context.Background(), 0, 0)
		var doc settings.Document
		if err == nil {
			err = json.Unmarshal(data, &doc)
		}
		if err != nil {
			t.Fatal(err)
		}
		s.applied.record(at, appliedVersion{doc.Version, 0})
	}
	s.publish(nextVersion)
	naive()
	s.platform.SetMaxVersion(readerName(at), 1)
	naive()
	if len(s.applied.reverts) == 0 {
		t.Fatal("the check did not notice that a stale service reverted the host")
	}
}

// TestOlderIncarnationStops guards against two processes of one ordinal both
// doing work, and against an unlisted pair of owners using a cold target.
func TestOlderIncarnationStops(t *testing.T) {
	s := newControlFleet(t, newDocument(2, 4, 8))
	s.startAll()
	at := ordinalID{placeName(0), 0}
	older := s.hosts[at]
	newer := s.start(at)
	defer older.stop()
	s.publishHosts()
	s.waitUntil(10*time.Second, "the newer process works and the older one does not", func() bool {
		return newer.daemon.control.ready() && !older.daemon.control.ready()
	})
	if !older.daemon.Status().Control.Superseded {
		t.Error("the older process does not know that it was replaced")
	}
	usable := func(d *Daemon) (cold, share int) {
		d.config.tree().Targets(func(info *settings.TargetInfo) {
			if d.MayUseColdAllowance(info) {
				cold++
			}
			if d.MayUseShare(info.ID) {
				share++
			}
		})
		return cold, share
	}
	s.waitUntil(15*time.Second, "the newer process uses its share and its cold targets", func() bool {
		cold, share := usable(newer.daemon)
		return cold > 0 && share > 0
	})
	if cold, share := usable(older.daemon); cold+share > 0 {
		t.Errorf("the older process may use %d cold targets and %d shares", cold, share)
	}
}

// TestConfigForwardChangingWatchers guards against a change that nobody reads
// while the watchers change with the version, or because those of the version
// in force have failed.
func TestConfigForwardChangingWatchers(t *testing.T) {
	s := newControlFleet(t, newDocument(1, 8, 8))
	s.startAll()
	s.waitUntil(membership.PropagationLimit, "version 1", func() bool { return s.inForce(1) })
	settled := func() { time.Sleep(2 * watcherPollInterval) } // the former watchers have stopped
	for version := uint64(2); version < 8; version++ {
		if version%2 == 0 {
			settled()
		}
		s.publish(nextVersion)
		s.waitUntil(membership.PropagationLimit, "the version is in force everywhere", func() bool { return s.inForce(version) })
	}
	settled()
	for _, ordinal := range configsync.Watchers(placeName(0), 8, 7)[:configsync.WatchersPerPlace] {
		at := ordinalID{placeName(0), ordinal}
		s.hosts[at].stop()
		delete(s.hosts, at)
	}
	s.publish(nextVersion)
	s.waitUntil(membership.PropagationLimit, "the version is in force without its watchers", func() bool { return s.inForce(8) })
}

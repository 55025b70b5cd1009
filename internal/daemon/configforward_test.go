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

// nextVersion publishes the same configuration with the next version, if it is passed
// to controlFleet.publish.
func nextVersion(*settings.Document) {}

// TestConfigForward checks the invariant ConfigForward, that no host reverts to an
// older version, with a configuration service that is stale, down or inconsistent,
// restarts without state, a partition and conflicting documents.
func TestConfigForward(t *testing.T) {
	s := newControlFleet(t, newDocument(3, 8, 40))
	s.startAll()
	waitInForce := func(version uint64) {
		t.Helper()
		s.waitUntil(membership.PropagationLimit, "the version is in force everywhere", func() bool { return s.inForce(version) })
	}
	waitInForce(1)

	// The configuration service returns the new version to three hosts and a stale one
	// to all others.
	for at := range s.hosts {
		if at != (ordinalID{placeName(0), 0}) && at != (ordinalID{placeName(0), 1}) && at != (ordinalID{placeName(0), 2}) {
			s.platform.SetMaxVersion(readerName(at), 1)
		}
	}
	s.publish(nextVersion)
	waitInForce(2)

	// A host that restarts without state reads the stale version from the service; its
	// peers have a newer one.
	restarted := ordinalID{placeName(1), 0}
	s.hosts[restarted].stop()
	s.start(restarted)
	s.publishHosts()
	waitInForce(2)

	// A partition: one side gets the version only after the partition heals.
	s.setPartition(true, func(at ordinalID) bool { return at.place == placeName(0) })
	s.publish(nextVersion)
	s.waitUntil(membership.PropagationLimit, "version 3 in place 0", func() bool {
		return s.hosts[ordinalID{placeName(0), 0}].daemon.config.tree().Doc.Version == 3
	})
	s.setPartition(false, func(at ordinalID) bool { return at.place == placeName(0) })
	waitInForce(3)

	// The service is down: all hosts keep working, and a host that restarts without
	// state at its old address gets the configuration from peers whose heartbeats reach
	// it.
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

	// Two documents have the same version: all hosts converge on one of them.
	s.publish(func(doc *settings.Document) { doc.DesignatedLevel = settings.LevelService })
	waitInForce(4)
	s.publish(func(doc *settings.Document) {
		doc.Version, doc.DesignatedLevel = 4, settings.LevelFleet
	})
	other := ordinalID{placeName(0), 0} // reads the second document because it starts without state
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

	// An invalid document is refused by all hosts, and the status shows the refusal.
	s.publish(func(doc *settings.Document) { doc.TargetsOut = []string{"nobody"} })
	s.waitUntil(membership.PropagationLimit, "the status shows the refusal", func() bool {
		status := s.hosts[ordinalID{placeName(0), 1}].daemon.Status()
		return status.Control.Config.Refused > 0 && status.Control.LastRefusal != "" && status.ConfigVersion == 4
	})
	s.publish(func(doc *settings.Document) { doc.TargetsOut = nil })
	waitInForce(6)
	for _, revert := range s.applied.reverts {
		t.Error(revert)
	}
}

// TestConfigForwardFailsNaively checks that the recorder detects a revert: a naive host
// that applies whatever the service returns reverts when the service is stale.
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
		t.Fatal("the recorder did not detect that a stale service reverted the host")
	}
}

// TestOlderIncarnationStops guards against two processes of one ordinal that both work,
// and against an older process that still uses its shares or cold allowances.
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
		t.Error("the older process does not report that it is superseded")
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
	s.waitUntil(15*time.Second, "the newer process may use shares and cold allowances", func() bool {
		cold, share := usable(newer.daemon)
		return cold > 0 && share > 0
	})
	if cold, share := usable(older.daemon); cold+share > 0 {
		t.Errorf("the older process may use %d cold allowances and %d shares, want none", cold, share)
	}
}

// TestConfigForwardChangingWatchers guards against a new version that no host reads
// because the watchers change with the version or because the present ones have
// failed.
func TestConfigForwardChangingWatchers(t *testing.T) {
	s := newControlFleet(t, newDocument(1, 8, 8))
	s.startAll()
	s.waitUntil(membership.PropagationLimit, "version 1", func() bool { return s.inForce(1) })
	waitForWatchers := func() { time.Sleep(2 * watcherPollInterval) } // the former watchers stop within this time
	for version := uint64(2); version < 8; version++ {
		if version%2 == 0 {
			waitForWatchers()
		}
		s.publish(nextVersion)
		s.waitUntil(membership.PropagationLimit, "the version is in force everywhere", func() bool { return s.inForce(version) })
	}
	waitForWatchers()
	for _, ordinal := range configsync.Watchers(placeName(0), 8, 7)[:configsync.WatchersPerPlace] {
		at := ordinalID{placeName(0), ordinal}
		s.hosts[at].stop()
		delete(s.hosts, at)
	}
	s.publish(nextVersion)
	s.waitUntil(membership.PropagationLimit, "the version is in force without its watchers", func() bool { return s.inForce(8) })
}

package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/membership"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TestQuarantineSpreadsByHeartbeats guards against a query that is proven to crash
// targets and still runs on hosts that got no notice of the crashes. A host of a large fleet sends notices to some
// peers only, and heartbeats to its contacts; this test sends no notices.
func TestQuarantineSpreadsByHeartbeats(t *testing.T) {
	t.Parallel()
	s := newControlFleet(t, newDocument(4, 24, 2))
	s.startAll()
	fp := quarantine.FingerprintOf("tags", []string{"killer"})
	first := s.hosts[ordinalID{placeName(0), 0}].daemon.branch.guard
	first.recordDeath(fp, quarantine.Death{Target: "tags-g0000-r0", Group: "tags-g0000", Canary: true}, false)
	first.recordDeath(fp, quarantine.Death{Target: "tags-g0001-r0", Group: "tags-g0001", Canary: true}, false)
	began := time.Now()
	s.waitUntil(20*time.Second, "every host refuses the query", func() bool {
		for _, h := range s.hosts {
			if e, known := h.daemon.branch.guard.entry(fp); !known || e.RefusedFor == 0 {
				return false
			}
		}
		return true
	})
	t.Logf("24 hosts refuse the query after %s", time.Since(began))
}

// TestRefusalReachesLaterHosts guards against a host that starts while queries are refused,
// and that each of them may cost another target, because all other hosts had been told before.
func TestRefusalReachesLaterHosts(t *testing.T) {
	conf := configOf(t, newDocument(2, 2, 1))
	from, later := newQuarantineGuard(conf.self, conf, nil), newQuarantineGuard(conf.self, conf, nil)
	const queries = 40
	for q := range queries {
		for d := range 2 {
			group := fmt.Sprintf("a-group-with-a-long-name-%d", d)
			from.recordDeath(quarantine.Fingerprint(q), quarantine.Death{Target: group + "-r0", Group: group, Canary: true}, false)
		}
	}
	for range queries * entryTransmissions {
		from.buildExtension(wire.MaxExtensionBytes)
	}
	if len(from.transmissionsLeft) > 0 {
		t.Fatalf("%d entries are still to be sent to hosts that run", len(from.transmissionsLeft))
	}
	for range queries {
		data := from.buildExtension(wire.MaxExtensionBytes)
		if len(data) > wire.MaxExtensionBytes {
			t.Fatalf("extension of %d bytes", len(data))
		}
		later.handleExtension(membership.Peer{}, data)
	}
	for q := range queries {
		known, _ := from.entry(quarantine.Fingerprint(q))
		e, _ := later.entry(quarantine.Fingerprint(q))
		if e.RefusedFor == 0 || e.RefusedFor > known.RefusedFor+time.Second {
			t.Errorf("query %d is refused for %s by the host that started later, for %s by the other", q, e.RefusedFor, known.RefusedFor)
		}
	}
}

// TestRefusalEnds guards against a refusal that hosts adopt from each other at its end, each
// with the time that the heartbeat took.
func TestRefusalEnds(t *testing.T) {
	doc := newDocument(2, 2, 1)
	doc.Fleet.Settings = settings.Overrides{"quarantine_for": []byte(`"2s"`)}
	conf := configOf(t, doc)
	from := newQuarantineGuard(conf.self, conf, nil)
	for _, group := range []string{"g0", "g1"} {
		from.recordDeath(1, quarantine.Death{Target: group + "-r0", Group: group, Canary: true}, false)
	}
	for range entryTransmissions {
		from.buildExtension(wire.MaxExtensionBytes)
	}
	if data := from.buildExtension(wire.MaxExtensionBytes); data != nil {
		t.Errorf("%d bytes tell of a refusal that is nearly over", len(data))
	}
}

// TestQuarantineExtensionFits guards against entries that never arrive because they
// do not fit in a heartbeat: entries with many deaths, and more entries than one
// heartbeat holds.
func TestQuarantineExtensionFits(t *testing.T) {
	conf := configOf(t, newDocument(2, 2, 1))
	from, to := newQuarantineGuard(conf.self, conf, nil), newQuarantineGuard(conf.self, conf, nil)
	const queries, deaths = 20, 12
	for q := range queries {
		for d := range deaths {
			group := fmt.Sprintf("a-group-with-a-long-name-%d", d)
			from.recordDeath(quarantine.Fingerprint(q), quarantine.Death{Target: group + "-r0", Group: group, Canary: d > deaths-3}, false)
		}
	}
	for range queries * entryTransmissions {
		data := from.buildExtension(wire.MaxExtensionBytes)
		if len(data) > wire.MaxExtensionBytes {
			t.Fatalf("extension of %d bytes", len(data))
		}
		if len(data) > 0 {
			to.handleExtension(membership.Peer{}, data)
		}
	}
	for q := range queries {
		if e, known := to.entry(quarantine.Fingerprint(q)); !known || e.RefusedFor == 0 {
			t.Errorf("query %d: known %t, refused for %s", q, known, e.RefusedFor)
		}
	}
	if len(from.transmissionsLeft) > 0 {
		t.Errorf("%d entries are still to be sent", len(from.transmissionsLeft))
	}
}

// configOf returns the settings of a host with a document in force.
func configOf(t *testing.T, doc settings.Document) *config {
	conf := newConfig(&settings.Process{Name: "a", Place: placeName(0)}, hclog.NewNullLogger())
	document, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conf.offerDocument(document); err != nil {
		t.Fatal(err)
	}
	conf.release()
	return conf
}

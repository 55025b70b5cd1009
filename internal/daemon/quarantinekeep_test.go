package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// TestQuarantineForOfService guards against a quarantine_for setting of a service
// that has no effect, on the host that recorded the deaths or on one that imports
// them.
func TestQuarantineForOfService(t *testing.T) {
	doc := newDocument(1, 2, 2)
	tags := doc.Services["tags"]
	other := newDocument(1, 2, 2).Services["tags"]
	for g := range other.Groups {
		for i := range other.Groups[g].Targets {
			other.Groups[g].Targets[i].ID = "other-" + other.Groups[g].Targets[i].ID
		}
	}
	tags.Settings = settings.Overrides{"quarantine_for": []byte(`"5s"`)}
	doc.Fleet.Settings = settings.Overrides{"quarantine_for": []byte(`"40s"`)}
	doc.Services["tags"], doc.Services["other"] = tags, other
	self := &settings.Process{Name: "h", Place: placeName(0)}
	data, err := json.Marshal(&doc)
	if err != nil {
		t.Fatal(err)
	}
	tree, err := settings.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	newHost := func() *quarantineGuard {
		c := newConfig(self, hclog.NewNullLogger())
		c.current.Store(tree)
		return newQuarantineGuard(self, c, nil)
	}
	for service, want := range map[string]time.Duration{"tags": 5 * time.Second, "other": 40 * time.Second} {
		origin, peer := newHost(), newHost()
		fp := quarantine.FingerprintOf(service, []string{"killer"})
		for _, g := range doc.Services[service].Groups {
			origin.recordDeath(fp, quarantine.Death{Target: g.Targets[0].ID, Group: g.ID, Canary: true}, false)
		}
		entry, _ := origin.entry(fp)
		peer.importEntries([]quarantine.Entry{entry})
		imported, _ := peer.entry(fp)
		for _, refusedFor := range []time.Duration{entry.RefusedFor, imported.RefusedFor} {
			if refusedFor > want || refusedFor < want-time.Second {
				t.Errorf("a query of service %s is refused for %s, want %s", service, refusedFor, want)
			}
		}
	}
}

package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Guards against a service's own quarantine_for that has no effect, on the host
// that saw the deaths and on one that learns of them.
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
		saw, told := newHost(), newHost()
		fp := quarantine.FingerprintOf(service, []string{"killer"})
		for _, g := range doc.Services[service].Groups {
			saw.recordDeath(fp, quarantine.Death{Target: g.Targets[0].ID, Group: g.ID, Canary: true}, false)
		}
		entry, _ := saw.entry(fp)
		told.importEntries([]quarantine.Entry{entry})
		learned, _ := told.entry(fp)
		for _, left := range []time.Duration{entry.RefusedFor, learned.RefusedFor} {
			if left > want || left < want-time.Second {
				t.Errorf("a query of service %s is refused for %s, want %s", service, left, want)
			}
		}
	}
}

package settings_test

import (
	"testing"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Guards against a document that makes Parse panic, which would crash every host
// that reads it, and against one that is accepted but whose settings cannot be
// resolved.
func FuzzParse(f *testing.F) {
	f.Add([]byte(document("place", `"retry_limit": 1`, `"hedge_min_delay": "3ms"`, `"canary": "auto"`)))
	f.Add([]byte(`{"version":1`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Parse(data)
		if err != nil {
			return
		}
		for place := range tree.Doc.Places {
			for service := range tree.Doc.Services {
				tree.Effective(place, service)
				tree.Explain(place, service)
			}
		}
	})
}

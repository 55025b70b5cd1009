package configsync_test

import (
	"encoding/json"
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/configsync"
)

func versionOf(raw []byte) (uint64, error) {
	var doc struct{ Version uint64 }
	err := json.Unmarshal(raw, &doc)
	return doc.Version, err
}

// A host with an older version pulls only the sections that it does not have.
func Example() {
	peer, host := configsync.NewState(versionOf), configsync.NewState(versionOf)
	_, _ = host.Offer([]byte(`{"version":1,"places":{"a":{"state":"in"},"b":{"state":"in"}}}`))
	_, _ = peer.Offer([]byte(`{"version":2,"places":{"a":{"state":"in"},"b":{"state":"in"}}}`))

	if host.Behind(peer.Position()) {
		manifest := peer.Manifest()
		missing := host.Missing(manifest)
		raw, err := host.Assemble(manifest, peer.Sections(manifest.Position, missing))
		fmt.Println(len(manifest.Sections), "sections,", len(missing), "missing, error:", err)
		fmt.Println(host.Offer(raw))
	}
	// Output:
	// 3 sections, 1 missing, error: <nil>
	// true <nil>
}

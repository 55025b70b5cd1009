package quarantine_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/quarantine"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

func Example() {
	now := time.UnixMilli(0)
	table := quarantine.NewTable(100)
	killer := quarantine.FingerprintOf("tagdesk", []string{"red", "wheel"})

	table.RecordDeath(now, killer, quarantine.Death{Target: "g0-r0", Group: "g0"}, false, time.Minute)
	fmt.Println(table.Decide(now, killer, settings.CanaryAuto) == quarantine.Canary)
	table.RecordDeath(now, killer, quarantine.Death{Target: "g0-r0", Group: "g0", Canary: true}, false, time.Minute)
	table.RecordDeath(now, killer, quarantine.Death{Target: "g1-r0", Group: "g1", Canary: true}, false, time.Minute)
	fmt.Println(table.Decide(now, killer, settings.CanaryAuto) == quarantine.Refuse)
	// Output:
	// true
	// true
}

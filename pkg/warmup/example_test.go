package warmup_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/warmup"
)

func ExampleRamp() {
	now := time.Unix(0, 0)
	r := warmup.NewRamp(warmup.Config{ColdConcurrency: 1, RampStep: 8, Share: 2})
	r.ObserveReport(now, now.Add(time.Millisecond), "boot-1", warmup.ReportedWarm)
	fmt.Println(r.State(), r.Allowed(now, false))
	r.ConnectionLost(now.Add(2 * time.Millisecond))
	fmt.Println(r.State(), r.Allowed(now, false), r.Allowed(now, true))
	r.ObserveReport(now, now.Add(3*time.Millisecond), "boot-2", warmup.ReportedCold)
	fmt.Println(r.State(), r.Allowed(now, false), r.Allowed(now, true))
	// Output:
	// warm 2
	// unproven 0 1
	// cold 0 1
}

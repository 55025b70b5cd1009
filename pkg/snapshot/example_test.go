package snapshot_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/snapshot"
)

func Example() {
	v, now := snapshot.NewVersions(), time.Unix(1000, 0)
	service := v.CountVersions([][]string{{"g0-r0", "g0-r1"}, {"g1-r0"}})
	v.Observe(now, "g0-r0", "boot-1", []uint64{7, 8})
	v.Observe(now, "g0-r1", "boot-1", []uint64{6, 7})
	v.Observe(now, "g1-r0", "boot-1", []uint64{6, 7})
	fmt.Println(service.Pick(), v.MayServe("g1-r0", 8))
	// Output: 7 false
}

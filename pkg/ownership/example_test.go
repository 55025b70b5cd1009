package ownership_test

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/ownership"
)

// The shares of the owners add up to the target's slot limit, whichever hosts are
// alive.
func Example() {
	owners := ownership.Owners("tagdesk-g00-r0", 3, ownership.PerTarget)
	sum := 0
	for rank := range owners {
		sum += ownership.Share(5, rank, len(owners))
	}
	fmt.Println(len(owners), "owners,", sum, "slots")
	// Output:
	// 2 owners, 5 slots
}

package settings_test

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Where two levels set different values, the designated level decides.
func ExampleTree_Explain() {
	tree, err := settings.Parse([]byte(document("place", `"retry_limit": 1`, `"retry_limit": 3`, "")))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, e := range tree.Explain("north", "tags") {
		if e.Field == "retry_limit" {
			fmt.Println(e.Value, "from", e.Level, "overrules", e.Overruled)
		}
	}
	// Output:
	// 3 from place overrules [{fleet 1}]
}

// The error of a refused document names each fault with its path.
func ExampleParse() {
	_, err := settings.Parse([]byte(`{"version": 0}`))
	fmt.Println(err)
	// Output:
	// designated_level: is missing; fleet: is missing; places: is missing; services: is missing; version: 0 is below 1
}

package keyspace_test

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

// The ranges of the answers of shards may overlap; Uncovered returns the missing ones.
func Example() {
	var covered keyspace.Set
	quarters := keyspace.Split(4)
	covered.Add(quarters[0])
	covered.Add(keyspace.Range{From: 0, To: keyspace.Size / 2})
	fmt.Println(covered.Len() == keyspace.Size/2, covered.Uncovered(keyspace.Full()))
	fmt.Println(covered.Contains(keyspace.KeyOf("tag-000007")))
	// Output:
	// true [[2147483648,4294967296)]
	// true
}

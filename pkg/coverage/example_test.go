package coverage_test

import (
	"fmt"

	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
)

func Example() {
	m := coverage.NewMerger(7)
	half := keyspace.Size / 2
	err := m.Add(coverage.Part{
		Version: 7, Covered: []coverage.Covered{{Range: keyspace.Range{From: 0, To: half}, Records: 30}},
		Records: []coverage.Record{{ID: "tag-000001", Key: 5, Text: "red hood"}},
	})
	fmt.Println(err, m.Coverage(), len(m.Records(10)))
	m.ExpectRecords(coverage.Covered{Range: keyspace.Range{From: half, To: keyspace.Size}, Records: 70})
	fmt.Println(m.Coverage())
	// Output:
	// <nil> 0.5 1
	// 0.3
}

package catalog_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/catalog"
)

func ExampleCatalog() {
	now := time.Unix(1000, 0)
	published := catalog.New()
	published.Replace(now, 7, []catalog.Item{
		{Kind: catalog.KindTarget, Name: "t1", Revision: 5, Target: &catalog.Target{ID: "t1", Service: "search"}},
		{Kind: catalog.KindTarget, Name: "t2", Revision: 6, Target: &catalog.Target{ID: "t2", Service: "search"}},
	})
	published.ApplyChanges(now, 8, []catalog.Item{{Kind: catalog.KindTarget, Name: "t1", Revision: 8, Deleted: true}})
	for _, t := range published.View().Usable("search") {
		fmt.Println(t.ID)
	}
	// Output: t2
}

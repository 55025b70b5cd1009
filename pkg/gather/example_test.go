package gather_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/gather"
)

func ExampleDecide() {
	by := time.Unix(1000, 0)
	p := gather.Progress{Shards: 10, Received: 9, Outstanding: 1, MinRatio: 0.9}
	fmt.Println(gather.Decide(p, by.Add(-time.Millisecond), by) == gather.Wait)
	fmt.Println(gather.Decide(p, by, by) == gather.Answer)
	// Output:
	// true
	// true
}

func ExampleTopRecords() {
	fmt.Printf("%s\n", gather.TopRecords([][]byte{[]byte("aaaaaaaaaaaaaaaacccccccccccccccc"), []byte("bbbbbbbbbbbbbbbb")}, 2))
	// Output: ccccccccccccccccbbbbbbbbbbbbbbbb
}

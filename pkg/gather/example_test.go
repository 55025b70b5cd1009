package gather_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/gather"
)

func ExampleDecide() {
	by := time.Unix(1000, 0)
	p := gather.Progress{Shards: 10, In: 9, Open: 1, MinRatio: 0.9}
	fmt.Println(gather.Decide(p, by.Add(-time.Millisecond), by) == gather.Wait)
	fmt.Println(gather.Decide(p, by, by) == gather.Answer)
	// Output:
	// true
	// true
}

func ExampleTop() {
	fmt.Printf("%s\n", gather.Top([][]byte{[]byte("aaaaaaaaaaaaaaaacccccccccccccccc"), []byte("bbbbbbbbbbbbbbbb")}, 2))
	// Output: ccccccccccccccccbbbbbbbbbbbbbbbb
}

package limit_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/limit"
)

func ExampleLimiter() {
	now := time.Unix(0, 0)
	l := limit.NewLimiter[string](1, 1)
	for _, r := range []struct {
		name  string
		class limit.Class
	}{{"a", limit.Batch}, {"b", limit.Batch}, {"c", limit.Critical}} {
		evicted, err := l.Offer(now, r.name, r.class, now.Add(time.Second))
		item, _, ok := l.Next(now)
		fmt.Println(r.name, err, evicted != nil && *evicted == "b", item, ok)
	}
	// Output:
	// a <nil> false a true
	// b <nil> false  false
	// c <nil> true  false
}

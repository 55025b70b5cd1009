package atmostonce_test

import (
	"fmt"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

func Example() {
	now := time.UnixMilli(1_700_000_000_000)
	limits := atmostonce.Limits{MaxRecords: 1000, MaxTTL: time.Hour, MaxDeadline: time.Minute}
	home := atmostonce.NewRegistry[string]("boston-hall-0", 7, limits)

	request := home.Issue(now, time.Minute).Prefix() + "renewal-1"
	id, err := atmostonce.ParseID(request)
	if err != nil {
		panic(err)
	}
	fmt.Println(home.Begin(now, id, 42, 0).Action == atmostonce.Run)
	home.Finish(now, id, outcome.OK(), "billed")
	again := home.Begin(now, id, 42, 0)
	fmt.Println(again.Action == atmostonce.Replay, again.Answer)
	// Output:
	// true
	// true billed
}

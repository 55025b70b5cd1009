// Command embed scatters a search over in-memory shards with three of the
// decision packages and nothing of the daemon: routing chooses the replica,
// hedge decides when a second one is asked, and coverage merges the answers.
package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/coverage"
	"github.com/lacewingyard/lacewingyard/pkg/hedge"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/routing"
)

const (
	shards  = 4
	version = 1
	// firstDelay is the hedge delay before enough latencies are known.
	firstDelay = 20 * time.Millisecond
)

// shard is a key range with two replicas.
type shard struct {
	group *routing.Group
	keys  keyspace.Range
}

func main() {
	router := routing.NewRouter("here", 0, rand.New(rand.NewPCG(1, 1)))
	latencies, budget := hedge.NewLatencies(), hedge.NewBudget()
	var all []shard
	var groups []*routing.Group
	for i, keys := range keyspace.Split(shards) {
		g := &routing.Group{ID: fmt.Sprintf("shard-%d", i)}
		for r, place := range []string{"here", "there"} {
			g.Candidates = append(g.Candidates, routing.Candidate{Target: fmt.Sprintf("%s-r%d", g.ID, r), Place: place, Owners: []int{0}})
		}
		router.Prepare(g)
		all = append(all, shard{g, keys})
		groups = append(groups, g)
	}

	merger := coverage.NewMerger(version)
	plan := router.Plan(time.Now(), groups, nil, nil)
	router.SentAll(time.Now(), plan)
	for i, first := range plan {
		s := all[i]
		answers := make(chan answer, 2)
		ask(first.Path, s.keys, answers)
		delay := latencies.Delay(s.group.ID, hedge.Rule{Quantile: 0.95, MinDelay: firstDelay}, budget.Balance())
		select {
		case a := <-answers:
			answers <- a
		case <-time.After(max(delay, firstDelay)):
			if second, ok := router.Alternative(time.Now(), s.group, nil, []routing.Path{first.Path}); ok && budget.TryExtra(0.05) {
				fmt.Println("hedged", first.Path.Target, "on", second.Path.Target)
				router.SentAll(time.Now(), []routing.Assignment{second})
				ask(second.Path, s.keys, answers)
			}
		}
		a := <-answers
		router.Answered(time.Now(), a.path, a.took)
		latencies.Observe(s.group.ID, a.took)
		budget.Completed(0.05, false)
		if err := merger.Add(a.part); err != nil {
			fmt.Println("not merged:", err)
		}
	}
	fmt.Printf("coverage %.2f, %d records, index version %d\n", merger.Coverage(), len(merger.Records(0)), merger.Version())
}

// answer is what a replica returns.
type answer struct {
	path routing.Path
	part coverage.Part
	took time.Duration
}

// ask stands for a call to a replica; the first replica of shard-2 is slow.
func ask(path routing.Path, keys keyspace.Range, answers chan<- answer) {
	took := time.Millisecond
	if path.Target == "shard-2-r0" {
		took = time.Second
	}
	time.AfterFunc(took, func() {
		answers <- answer{path: path, took: took, part: coverage.Part{
			Version: version,
			Covered: []coverage.Covered{{Range: keys}},
			Records: []coverage.Record{{ID: fmt.Sprint("record-", keys.From), Key: keys.From}},
		}}
	})
}

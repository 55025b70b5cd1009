// Command embed is an example that scatters a search over in-memory shards with three
// of the decision packages and without the daemon: routing chooses the replica, hedge
// decides when a hedge is sent to another replica, and coverage merges the answers.
//
// The command owns the simulated replicas and their timers. Shards are queried one after
// the other, from one goroutine.
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
	shardCount   = 4
	indexVersion = 1
	// minHedgeDelay is the minimum hedge delay. It also applies while too few latencies have
	// been observed for an estimate.
	minHedgeDelay = 20 * time.Millisecond
)

// shard is a key range and the group of its two replicas.
type shard struct {
	group *routing.Group
	keys  keyspace.Range
}

func main() {
	router := routing.NewRouter("here", 0, rand.New(rand.NewPCG(1, 1)))
	latencies, budget := hedge.NewLatencies(), hedge.NewBudget()
	var shards []shard
	var groups []*routing.Group
	for i, keys := range keyspace.Split(shardCount) {
		g := &routing.Group{ID: fmt.Sprintf("shard-%d", i)}
		for r, place := range []string{"here", "there"} {
			g.Candidates = append(g.Candidates, routing.Candidate{Target: fmt.Sprintf("%s-r%d", g.ID, r), Place: place, Owners: []int{0}})
		}
		router.Prepare(g)
		shards = append(shards, shard{g, keys})
		groups = append(groups, g)
	}

	merger := coverage.NewMerger(indexVersion)
	plan := router.Plan(time.Now(), groups, nil, nil)
	router.SentAll(time.Now(), plan)
	for i, first := range plan {
		s := shards[i]
		answers := make(chan answer, 2)
		callReplica(first.Path, s.keys, answers)
		delay := latencies.Delay(s.group.ID, hedge.Rule{Quantile: 0.95, MinDelay: minHedgeDelay}, budget.Balance())
		select {
		case a := <-answers:
			answers <- a
		case <-time.After(max(delay, minHedgeDelay)):
			if second, ok := router.Alternative(time.Now(), s.group, nil, []routing.Path{first.Path}); ok && budget.TryExtra(0.05) {
				fmt.Println("hedged", first.Path.Target, "on", second.Path.Target)
				router.SentAll(time.Now(), []routing.Assignment{second})
				callReplica(second.Path, s.keys, answers)
			}
		}
		a := <-answers
		router.Answered(time.Now(), a.path, a.latency)
		latencies.Observe(s.group.ID, a.latency)
		budget.Completed(0.05, false)
		if err := merger.Add(a.part); err != nil {
			fmt.Println("not merged:", err)
		}
	}
	fmt.Printf("coverage %.2f, %d records, index version %d\n", merger.Coverage(), len(merger.Records(0)), merger.Version())
}

// answer is the answer of a replica, with its path and latency.
type answer struct {
	path    routing.Path
	part    coverage.Part
	latency time.Duration
}

// callReplica simulates a call to a replica: the first replica of shard-2 answers after
// 1 s, the others after 1 ms.
func callReplica(path routing.Path, keys keyspace.Range, answers chan<- answer) {
	latency := time.Millisecond
	if path.Target == "shard-2-r0" {
		latency = time.Second
	}
	time.AfterFunc(latency, func() {
		answers <- answer{path: path, latency: latency, part: coverage.Part{
			Version: indexVersion,
			Covered: []coverage.Covered{{Range: keys}},
			Records: []coverage.Record{{ID: fmt.Sprint("record-", keys.From), Key: keys.From}},
		}}
	})
}

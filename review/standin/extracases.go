package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	sweep      = "/sweep/" // over all shards
	shardCount = 3
	copies     = 3 // searchers of a shard
	topRecords = 5
	sweepLimit = 800 * time.Millisecond
	faultyFor  = 5 * time.Second
)

// callLoops calls the host in a period with a number of callers for faultyFor. next returns the path of
// the n-th request of a caller, and check gets each reply, one at a time.
func (p *play) callLoops(period, callers int, limit time.Duration, next func(n int) string, check func(path, id string, r reply)) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(faultyFor)
	for i := range callers {
		group.Go(func() {
			var c *caller
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = connect(p.host.callers); err != nil {
						p.note("caller %d ends: %v", i, err)
						return
					}
				}
				path, id := next(n), fmt.Sprintf("%x%02x%013x", period, i, n)
				r := c.call(path+"2f", id, limit)
				if r.status == 0 {
					_ = c.conn.Close()
					c = nil
				}
				mu.Lock()
				check(path, id, r)
				mu.Unlock()
			}
		})
	}
	group.Wait()
}

// faultOf returns what is wrong with a success to a sweep, empty if nothing is.
func faultOf(searchers []*rawSearcher, id string, r reply) string {
	var services []string
	var records [][]byte
	for entry := range strings.SplitSeq(r.parts, ",") {
		stamp := strings.TrimSpace(entry)
		i := slices.IndexFunc(searchers, func(s *rawSearcher) bool { return stampOf(s.id, id) == stamp })
		if i < 0 {
			return fmt.Sprintf("Part-Stamps has %q, which is no searcher's digest for this request", stamp)
		}
		if slices.Contains(services, searchers[i].service) {
			return "Part-Stamps has two parts of " + searchers[i].service
		}
		services = append(services, searchers[i].service)
		records = slices.AppendSeq(records, slices.Chunk(partOf(searchers[i].service, id), recordBytes))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if expected := bytes.Join(records[:topRecords], nil); !bytes.Equal(expected, []byte(r.body)) {
		return "the body is not the greatest records of the parts named"
	}
	return ""
}

// bytesAfterParts lets searchers of the shards send further bytes after complete answers.
func bytesAfterParts(p *play) (bool, error) {
	if p.trouble {
		p.makeFaulty(p.shards)
	}
	statuses, wrong := map[int]int{}, 0
	p.callLoops(0, 6, sweepLimit, func(int) string { return sweep }, func(_, id string, r reply) {
		statuses[r.status]++
		if r.status/100 != 2 {
			return
		}
		if fault := faultOf(p.shards, id, r); fault != "" {
			wrong++
			p.broken = append(p.broken, id)
			p.note("request %s: status %d, Part-Stamps %q, Missing-Parts %q", id, r.status, r.parts, r.missing)
			p.note("  MIXED: %s", fault)
			p.noteFurtherBytes(p.shards, id)
		}
	})
	p.noteFaults(p.shards)
	p.note("answers by status: %v; successes that name a digest nobody gave, or have a wrong body: %d", statuses, wrong)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served: %v", statuses)
	}
	return wrong > 0, nil
}

// periods is the number of times that searchers are faulty for faultyFor, and periodPause the
// time between two of them.
const (
	periods     = 5
	periodPause = 2 * time.Second
)

// bytesAfterRefusals lets searchers send further bytes after complete refusals. Callers send
// requests that may run once and others, more than the searchers take at once.
func bytesAfterRefusals(p *play) (bool, error) {
	statuses, onceReplies := map[int]int{}, map[string]reply{}
	for period := range periods {
		if period > 0 {
			time.Sleep(periodPause)
		}
		if p.trouble {
			p.makeFaulty(p.busy)
		}
		sound := time.AfterFunc(faultyFor, func() { p.makeSound(p.busy) })
		next := func(n int) string { return []string{busyUnrepeatable, busyRepeatable}[n%2] }
		p.callLoops(period, 28, timeLimit, next, func(path, id string, r reply) {
			statuses[r.status]++
			if path == busyUnrepeatable {
				onceReplies[id] = r
			}
		})
		sound.Stop()
	}
	time.Sleep(time.Second) // the searchers end their work
	twice, refused := 0, 0
	for id, r := range onceReplies {
		runs := 0
		var at []string
		for _, s := range p.busy {
			s.mu.Lock()
			if n := s.runs[id]; n > 0 {
				runs += n
				at = append(at, fmt.Sprintf("%s (%d)", s.id, n))
			}
			s.mu.Unlock()
		}
		if runs > 1 {
			twice++
			p.broken = append(p.broken, id)
			p.note("TWICE: %s%s ran %d times, at %s; its caller got %v", busyUnrepeatable, id, runs, strings.Join(at, ", "), r)
			p.noteFurtherBytes(p.busy, id)
		}
		if r.status == http.StatusServiceUnavailable && runs > 0 {
			refused++
			p.note("REFUSED: %s%s ran at %s; its caller got %v", busyUnrepeatable, id, strings.Join(at, ", "), r)
			p.noteFurtherBytes(p.busy, id)
		}
	}
	p.noteFaults(p.busy)
	p.note("answers by status: %v; of %d requests that may run once, %d ran twice and %d ran and were answered 503", statuses, len(onceReplies), twice, refused)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served: %v", statuses)
	}
	return twice > 0, nil
}

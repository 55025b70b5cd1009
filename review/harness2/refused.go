package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

const (
	greyFrom  = 4 * time.Second
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.45 // of the requests of one searcher in seven
	greyCount = 7
)

// playRefused lets one searcher fail a part of the requests that it ran with status 503 and
// without Not-Executed.
func playRefused(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 2)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	var searchers []*searcher
	for i := range greyCount {
		s, err := d.newSearcher(fmt.Sprintf("i-%d", i), "renewals", 160*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		defer s.end()
		searchers = append(searchers, s)
	}
	d.putConfig(1, "non_idempotent", "/goka902/", "renewals")
	if err := d.startAll(); err != nil {
		return notRun, err
	}
	began := time.Now()
	searchers[0].setFailure(func(id string) int {
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		since := time.Since(began)
		if trouble && since > greyFrom && since < greyFrom+greyTime && float64(h.Sum32()%1000) < 1000*greyShare {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	d.log("%d hosts run; %s fails requests: %v", len(d.hosts), searchers[0].id, trouble)
	all := newCallers()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for i := 0; time.Since(began) < greyFrom+greyTime+2*time.Second; i++ {
		<-tick.C
		all.send(d.hosts[i%2], http.MethodPost, "/goka902/2f", fmt.Sprintf("entry %d", i), 4*time.Second)
	}
	attempts := all.wait()
	d.logAttempts(attempts, searchers)
	ran := map[string]string{}
	for _, s := range searchers {
		for _, a := range s.seen() {
			ran[a.id] = s.id
		}
	}
	refused := 0
	for _, a := range attempts {
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if by, ok := ran[a.id]; ok {
				refused++
				d.log("request %s was answered %d and has run at %s", a.id, a.status, by)
			}
		}
	}
	d.log("%d of %d requests were answered with a promise that they have not run, and have run", refused, len(attempts))
	if refused > 0 {
		d.log("BROKEN")
		return broken, nil
	}
	d.log("held")
	return held, nil
}

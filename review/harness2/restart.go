package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	strayEntries  = 26
	strayInterval = 300 * time.Millisecond
	killAt        = 12 * time.Second
)

// playRestart kills all hosts at once while the store also holds entries of another writer with
// bytes that cannot be read.
func playRestart(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 2)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	var searchers []*searcher
	for i := range 3 {
		s, err := d.newSearcher(fmt.Sprintf("i-%d", i), "renewals", 160*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		defer s.end()
		searchers = append(searchers, s)
	}
	d.putConfig(1, "idempotent", "/goka902/", "renewals")
	if err := d.startAll(); err != nil {
		return notRun, err
	}
	d.log("%d hosts run; another writer puts %d entries of %d bytes one after the other: %v", len(d.hosts), strayEntries, valueBytes, trouble)
	all := newCallers()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	began := time.Now()
	wrote, killed, started := 0, false, false
	back := began.Add(killAt + hostsDown)
	for i := 0; time.Now().Before(back.Add(recoveryTime + judgedTime)); i++ {
		<-tick.C
		since := time.Since(began)
		if trouble && wrote < strayEntries && since > 2*time.Second+time.Duration(wrote)*strayInterval {
			d.store.putBytes(fmt.Sprintf("servers/x-%02d", wrote), unreadable(valueBytes))
			wrote++
		}
		if !killed && since > killAt {
			killed = true
			for _, h := range d.hosts {
				h.kill()
			}
			d.log("all hosts are killed; the store holds %d entries of the other writer", wrote)
		}
		if !started && since > killAt+hostsDown {
			started = true
			for _, h := range d.hosts {
				if err := h.start(); err != nil {
					return notRun, err
				}
			}
			d.log("all hosts have been started again")
		}
		all.send(d.hosts[i%2], http.MethodGet, fmt.Sprintf("/goka902/%x", i), "", 4*time.Second)
	}
	for _, h := range d.hosts {
		d.log("%s is ready at the end: %v", h.name, h.awaitReady(100*time.Millisecond))
	}
	attempts := all.wait()
	d.logAttempts(attempts, searchers)
	var before, after counts
	for _, a := range attempts {
		switch {
		case a.sent.Before(began.Add(killAt - time.Second)):
			before.add(a)
		case a.sent.After(back.Add(recoveryTime)):
			after.add(a)
		}
	}
	d.log("before the final fault: %d of %d requests served", before.served, before.sent)
	d.log("later than recovery_s after the machines are back: %d of %d requests served", after.served, after.sent)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		d.log("BROKEN: less than a quarter is served")
		return broken, nil
	}
	d.log("held")
	return held, nil
}

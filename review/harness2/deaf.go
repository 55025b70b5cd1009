package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// badEntries entries of valueBytes each come from another writer at once. valueBytes is
	// value_bytes of the settings, the greatest value that the store takes.
	badEntries = 12
	valueBytes = 1 << 20

	drainBound  = 3 * time.Second // drain_ms
	configBound = 3 * time.Second // config_apply_ms
	// servesOn is how long a searcher serves after its report was accepted: drain_ms and a
	// little longer.
	servesOn = drainBound + 1500*time.Millisecond
	newPath  = "/zide732/2f"
)

// playDeaf lets another writer put entries with bytes that cannot be read into the store. Later a
// searcher drains and a new configuration has a further route.
func playDeaf(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 2)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	var searchers []*searcher
	for i := range 3 {
		s, err := d.newSearcher(fmt.Sprintf("i-%d", i), "renewals", 400*time.Millisecond)
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
	d.log("%d hosts run; trouble: %v", len(d.hosts), trouble)
	all := newCallers()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var wroteAt, drainedAt, configAt, endedAt time.Time
	began := time.Now()
	for i := 0; time.Since(began) < 16*time.Second; i++ {
		<-tick.C
		now := time.Now()
		switch since := now.Sub(began); {
		case wroteAt.IsZero() && since > 6*time.Second:
			wroteAt = now
			for n := range badEntries {
				if trouble {
					d.store.putBytes(fmt.Sprintf("servers/x-%d", n), unreadable(valueBytes))
				}
			}
			d.log("another writer has put %d entries of %d bytes: %v", badEntries, valueBytes, trouble)
		case drainedAt.IsZero() && since > 7*time.Second:
			searchers[0].drain()
			drainedAt = time.Now()
			d.log("the store has confirmed that %s is draining", searchers[0].id)
			d.putRoutes(2, "non_idempotent", "renewals", "/goka902/", "/zide732/")
			configAt = time.Now()
			d.log("the store has confirmed configuration 2 with the further route %s", newPath)
		case endedAt.IsZero() && !drainedAt.IsZero() && now.Sub(drainedAt) > servesOn:
			searchers[0].end()
			endedAt = now
			d.log("%s exits", searchers[0].id)
		}
		for _, h := range d.hosts {
			path := "/goka902/2f"
			if !configAt.IsZero() && i%3 == 0 {
				path = newPath
			}
			if i%2 == 0 {
				all.send(h, http.MethodPost, path, fmt.Sprintf("entry %d", i), 4*time.Second)
			}
		}
	}
	attempts := all.wait()
	d.logAttempts(attempts, searchers)
	late, cut, notFound, other := 0, 0, 0, 0
	for _, a := range searchers[0].seen() {
		if a.at.After(drainedAt.Add(drainBound)) {
			late++
		}
		if a.finished.IsZero() {
			cut++
		}
	}
	for _, a := range attempts {
		if a.path == newPath && a.sent.After(configAt.Add(configBound)) {
			if a.status == http.StatusNotFound {
				notFound++
			} else {
				other++
			}
		}
	}
	d.log("requests that reached %s later than drain_ms after the confirmation: %d", searchers[0].id, late)
	d.log("requests that had run at %s and lost their answers when it exited: %d", searchers[0].id, cut)
	d.log("requests on the further route sent later than config_apply_ms after the confirmation: %d refused with 404, %d handled otherwise", notFound, other)
	if late > 0 || notFound > 0 {
		d.log("BROKEN")
		return broken, nil
	}
	d.log("held")
	return held, nil
}

// unreadable returns bytes that are no JSON.
func unreadable(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i*7 + i>>8)
	}
	return data
}

// startAll starts the hosts and waits until all are ready.
func (d *deployment) startAll() error {
	for i := range d.ips {
		if _, err := d.startHost(i); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if !h.awaitReady(10 * time.Second) {
			return errors.New("a host is not ready")
		}
	}
	return nil
}

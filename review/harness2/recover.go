package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	calmBefore    = 10 * time.Second
	hostsDown     = 800 * time.Millisecond // down_s of the final fault
	darkAfter     = 3 * time.Second        // from the return of the hosts
	darkTime      = 4500 * time.Millisecond
	entryLapse    = 3 * 1200 * time.Millisecond // three heartbeats
	recoveryTime  = 12 * time.Second            // recovery_s
	judgedTime    = 15 * time.Second
	popularPath   = "/rany330/2f"
	shardCount    = 10
	popularInHalf = 9 // of ten requests
)

// playRecover kills all hosts at once. While they recover, the searchers of one shard of ten go
// dark for a few seconds and come back. Most callers send the same request to all shards.
func playRecover(record string, trouble bool) (int, error) {
	d, err := newDeployment(record, 2)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	var searchers []*searcher
	defer func() {
		for _, s := range searchers {
			s.end()
		}
	}()
	start := func(shard string, generation string) error {
		for i := range 3 {
			s, err := d.newSearcher(fmt.Sprintf("i-%s-%s%d", shard, generation, i), shard, 20*time.Millisecond)
			if err != nil {
				return err
			}
			searchers = append(searchers, s)
		}
		return nil
	}
	var shards []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("tagdesk%d", i))
		if err := start(shards[i], "a"); err != nil {
			return notRun, err
		}
	}
	d.putShards(1, "/rany330/", shards)
	if err := d.startAll(); err != nil {
		return notRun, err
	}
	kills, darkens := trouble, trouble && os.Getenv("SEARCHERS") != "sound"
	d.log("%d hosts run; all hosts are killed: %v; the searchers of %s go dark: %v", len(d.hosts), kills, shards[0], darkens)
	all := newCallers()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	began := time.Now()
	steps := []struct {
		at   time.Duration
		do   func()
		done bool
	}{
		{at: calmBefore, do: func() {
			if !kills {
				return
			}
			for _, h := range d.hosts {
				h.kill()
			}
			d.log("all hosts are killed")
		}},
		{at: calmBefore + hostsDown, do: func() {
			if !kills {
				return
			}
			for _, h := range d.hosts {
				_ = h.start()
			}
			d.log("all hosts have been started again")
		}},
		{at: calmBefore + hostsDown + darkAfter, do: func() {
			if !darkens {
				return
			}
			for i, s := range searchers[:3] {
				if err := s.goDark(); err != nil {
					d.log("%s: %v", s.id, err)
				}
				time.AfterFunc(500*time.Millisecond, func() { d.log("a new connection to %s: %v", s.id, probe(s.address)) })
				// The last heartbeat of each was at its own time.
				time.AfterFunc(entryLapse-time.Duration(100+400*i)*time.Millisecond, func() {
					d.store.remove(s.key())
					d.log("the entry of %s has lapsed", s.id)
				})
			}
			d.log("all searchers of %s are dark", shards[0])
		}},
		{at: calmBefore + hostsDown + darkAfter + darkTime, do: func() {
			if !darkens {
				return
			}
			if err := start(shards[0], "b"); err != nil {
				d.log("%v", err)
			}
			d.log("the searchers of %s are back", shards[0])
		}},
	}
	back := began.Add(calmBefore + hostsDown)
	end := back.Add(recoveryTime + judgedTime)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		for k := range steps {
			if s := &steps[k]; !s.done && time.Since(began) >= s.at {
				s.done = true
				s.do()
			}
		}
		path := popularPath
		if i%10 >= popularInHalf {
			path = fmt.Sprintf("/rany330/%x", i)
		}
		all.send(d.hosts[i/3%2], http.MethodGet, path, "", 800*time.Millisecond)
	}
	attempts := all.wait()
	var shown []*searcher // the runs at one shard; the others have as many
	for _, s := range searchers {
		if s.service == shards[0] {
			shown = append(shown, s)
		}
	}
	d.logAttempts(attempts, shown)
	var before, after, other counts
	for _, a := range attempts {
		switch {
		case a.sent.Before(began.Add(calmBefore - time.Second)):
			before.add(a)
		case a.sent.After(back.Add(recoveryTime)):
			after.add(a)
			if a.path != popularPath {
				other.add(a)
			}
		}
	}
	d.log("before the final fault: %d of %d requests served", before.served, before.sent)
	d.log("later than recovery_s after the machines are back: %d of %d requests served; of those with other paths: %d of %d", after.served, after.sent, other.served, other.sent)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		d.log("BROKEN: less than a quarter is served")
		return broken, nil
	}
	d.log("held")
	return held, nil
}

type counts struct{ sent, served int }

func (c *counts) add(a attempt) {
	c.sent++
	if a.status == http.StatusOK {
		c.served++
	}
}

// probe returns what becomes of an attempt to open a connection.
func probe(address string) string {
	c, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
	if err != nil {
		return err.Error()
	}
	_ = c.Close()
	return "opened"
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// connectAll opens the callers' connections and sends one request on each, so that they are
// kept connections from then on.
func (p *play) connectAll(count int) ([]*caller, error) {
	var callers []*caller
	for i := range count {
		c, err := connect(p.host.callers)
		if err != nil {
			return nil, err
		}
		callers = append(callers, c)
		id := fmt.Sprintf("first%011x", i)
		if r := c.call(repeatable+"2f", id, timeLimit); r.status != http.StatusOK || r.stamp == "" {
			return nil, fmt.Errorf("first request of caller %d: %v", i, r)
		}
	}
	return callers, nil
}

// lateRequestsOfAStop stops the host with SIGTERM. Callers that still have its address send
// requests on their kept connections later than 3 s after the signal, three for each slot of the
// searchers: the last ones wait in the searchers' queues for two others.
func lateRequestsOfAStop(p *play) (bool, error) {
	const (
		sentAfter = 3100 * time.Millisecond
		grace     = 6 * time.Second
		perSlot   = 3
	)
	callers := make([]*caller, searcherCount*slotCount*perSlot)
	var group sync.WaitGroup
	for i := range callers {
		c, err := connect(p.host.callers)
		if err != nil {
			return false, err
		}
		callers[i] = c
		group.Go(func() {
			p.note("caller %d, first request: %v", i, c.call(unrepeatable+"2f", fmt.Sprintf("first%011x", i), timeLimit))
		})
	}
	group.Wait()
	signaled := time.Now()
	if p.trouble {
		p.note("SIGTERM")
		p.host.signal(syscall.SIGTERM)
		kill := time.AfterFunc(grace, func() {
			p.note("SIGKILL at the end of grace_s")
			p.host.signal(syscall.SIGKILL)
		})
		defer kill.Stop()
	}
	time.Sleep(time.Until(signaled.Add(sentAfter)))
	replies, ids := make([]reply, len(callers)), make([]string, len(callers))
	for i, c := range callers {
		ids[i] = fmt.Sprintf("late%012x", i)
		group.Go(func() {
			p.note("caller %d sends %s%s %.3f s after the signal", i, unrepeatable, ids[i], time.Since(signaled).Seconds())
			replies[i] = c.call(unrepeatable+"2f", ids[i], timeLimit)
		})
	}
	group.Wait()
	lost := 0
	for i, r := range replies {
		p.note("caller %d: %v, %.3f s after the signal", i, r, r.at.Sub(signaled).Seconds())
		runs := p.noteRuns(ids[i])
		if r.status == 0 && runs > 0 && r.at.Sub(signaled) < grace && r.at.Sub(signaled)-sentAfter < timeLimit {
			p.note("  LOST: passed on to a searcher, and its connection ended without an answer, before the time limit and the end of grace_s")
			lost++
		}
	}
	p.note("%d of %d requests were passed on and lost", lost, len(replies))
	return lost > 0, nil
}

// signalsInSeries sends SIGTERM twice, half a second apart, while the host runs requests that it
// had read before the first.
func signalsInSeries(p *play) (bool, error) {
	const (
		signals   = 2
		firstAt   = 200 * time.Millisecond
		signalGap = 500 * time.Millisecond
		grace     = 6 * time.Second
	)
	callers, err := p.connectAll(6)
	if err != nil {
		return false, err
	}
	replies, ids := make([]reply, len(callers)), make([]string, len(callers))
	var group sync.WaitGroup
	began := time.Now()
	for i, c := range callers {
		path := repeatable
		if i%2 == 1 {
			path = unrepeatable
		}
		ids[i] = fmt.Sprintf("open%012x", i)
		p.note("caller %d sends %s%s", i, path, ids[i])
		group.Go(func() { replies[i] = c.call(path+"2f", ids[i], timeLimit) })
	}
	for n := range signals {
		time.Sleep(time.Until(began.Add(firstAt + time.Duration(n)*signalGap)))
		if p.trouble {
			p.note("SIGTERM")
			p.host.signal(syscall.SIGTERM)
		}
	}
	group.Wait()
	broken := false
	for i, r := range replies {
		took := r.at.Sub(began)
		p.note("caller %d: %v, after %.3f s", i, r, took.Seconds())
		runs := p.noteRuns(ids[i])
		if r.status == 0 && runs > 0 && took < firstAt+grace && took < timeLimit {
			p.note("  LOST: passed on to a searcher, and its connection ended without an answer, before the time limit and the end of grace_s")
			broken = true
		}
	}
	if p.trouble {
		select {
		case <-p.host.exited:
			p.note("the host has ended: %v", p.host.cmd.ProcessState)
		case <-time.After(grace):
			p.note("the host runs at the end of grace_s")
		}
	}
	return broken, nil
}

// callersThatEndTheirSide sends one request on each of 30 connections. A fifth of the callers then
// end the sending side of their connection, as a caller does that sends nothing more. All read
// until the host has answered or closed.
func callersThatEndTheirSide(p *play) (bool, error) {
	const leaversOneIn = 5
	callers, err := p.connectAll(30)
	if err != nil {
		return false, err
	}
	replies, ids := make([]reply, len(callers)), make([]string, len(callers))
	var group sync.WaitGroup
	for i, c := range callers {
		path := repeatable
		if i%2 == 1 {
			path = unrepeatable
		}
		ids[i] = fmt.Sprintf("last%012x", i)
		if err := c.write(head(http.MethodGet, path+"2f", ids[i], timeLimit)); err != nil {
			return false, err
		}
		leaves := p.trouble && i%leaversOneIn == 0
		group.Go(func() {
			if leaves {
				time.Sleep(50 * time.Millisecond)
				err := c.conn.CloseWrite()
				p.note("caller %d sent %s%s and ended its side of the connection (%v)", i, path, ids[i], err)
			}
			replies[i] = c.read(http.MethodGet, timeLimit+time.Second)
		})
	}
	group.Wait()
	time.Sleep(time.Second) // the searchers end their work
	wrong := 0
	for i, r := range replies {
		p.note("caller %d: %v, body %q", i, r, r.body)
		p.noteRuns(ids[i])
		if r.status/100 == 2 && (r.stamp == "" || r.body != answerBody(ids[i])) {
			p.note("  MIXED: a success without the searcher's Server-Stamp and body")
			wrong++
		}
	}
	p.note("%d of %d callers got a success that no searcher gave", wrong, len(callers))
	return wrong > 0, nil
}

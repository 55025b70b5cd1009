package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdSize is the number of connections that the crowd keeps open to a host, below the
	// number that the host accepts.
	crowdSize = 1940
	// longHeads of them send heads of longHeadBytes, the others of shortHeadBytes. Heads of up
	// to 16,384 bytes are inside the limits of the configuration.
	longHeads      = 300
	longHeadBytes  = 4700
	shortHeadBytes = 4096
	// A body is one chunk of which bodySent of bodyStated bytes are sent.
	bodyStated = 3100
	bodySent   = 3000
	// endsToBreak is the number of ends of a process, on each of two machines, that breaks the
	// rule.
	endsToBreak  = 3
	restartDelay = 500 * time.Millisecond
	calmTime     = 5 * time.Second // before the crowd
	crowdTime    = 60 * time.Second
)

// playMemory lets a crowd of callers send requests inside the limits whose chunked bodies stop
// just short of their end. The platform, played by this program, kills a process that exceeds its
// memory limit and starts it again.
func playMemory(record string, trouble bool) (int, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 2*crowdSize+200 {
		return notRun, errors.New("too few descriptors for the callers of this case")
	}
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
	d.log("%d hosts run with memory_mb %d and max_fds %d; trouble: %v", len(d.hosts), memoryMB, maxDescriptors, trouble)
	if trouble {
		d.log("after %v, %d callers a host send, %d of them with heads of %d bytes: %q... and a chunk of %d bytes without its last %d, and wait", calmTime, crowdSize,
			longHeads, longHeadBytes, crowdHead(longHeads, 0, shortHeadBytes)[:180], bodyStated, bodyStated-bodySent)
	}
	d.log("beside them one caller a host sends GET /goka902/2f, again 200 ms after each answer")
	stop := make(chan struct{})
	var work sync.WaitGroup
	watches := make([]*memoryWatch, len(d.hosts))
	for i, h := range d.hosts {
		watches[i] = &memoryWatch{}
		work.Go(func() { watches[i].run(h, stop) })
		work.Go(func() { ordinaryCaller(h, watches[i], stop) })
		if trouble {
			c := &crowd{h: h, w: watches[i], short: os.Getenv("HEADS") == "usual"}
			work.Go(func() {
				time.Sleep(calmTime)
				c.run(stop)
			})
		}
	}
	length := crowdTime
	if !trouble {
		length /= 3
	}
	for end := time.Now().Add(length); time.Now().Before(end) && !allEnded(watches); time.Sleep(time.Second) {
		for i, h := range d.hosts {
			w := watches[i]
			d.log("%s: memory %d MiB resident, %d of them its own; crowd: %d open, %d closed by the host; ordinary requests: %d answered with 200, %d otherwise; ends: %d",
				h.name, w.resident.Load()>>20, w.anonymous.Load()>>20, w.open.Load(), w.closed.Load(), w.answered.Load(), w.failed.Load(), w.ends.Load())
		}
	}
	close(stop)
	work.Wait()
	for _, s := range searchers {
		d.log("runs at %s: %d", s.id, len(s.seen()))
	}
	for i, h := range d.hosts {
		d.log("%s: greatest memory of its own %d MiB of %d MiB; ended for memory %d times", h.name, watches[i].peak.Load()>>20, memoryMB, watches[i].ends.Load())
	}
	if allEnded(watches) {
		d.log("BROKEN: processes of two machines ended %d times each", endsToBreak)
		return broken, nil
	}
	d.log("held")
	return held, nil
}

func allEnded(watches []*memoryWatch) bool {
	for _, w := range watches {
		if w.ends.Load() < endsToBreak {
			return false
		}
	}
	return true
}

// memoryWatch plays the part of the platform that kills a process over its memory limit. Its
// counters also have what callers saw of the host.
type memoryWatch struct {
	resident, anonymous, peak atomic.Int64
	ends                      atomic.Int64
	open, closed              atomic.Int64
	answered, failed          atomic.Int64
}

func (w *memoryWatch) run(h *host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident, anonymous := h.memory()
		w.resident.Store(resident)
		w.anonymous.Store(anonymous)
		w.peak.Store(max(w.peak.Load(), anonymous))
		// The pages of the program's file are left out.
		if anonymous <= memoryMB<<20 {
			continue
		}
		w.ends.Add(1)
		h.d.log("%s: memory of its own %d MiB exceeds memory_mb %d (resident: %d MiB); the process is killed", h.name, anonymous>>20, memoryMB, resident>>20)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.d.log("%s: %v", h.name, err)
			return
		}
	}
}

// crowd keeps connections with unfinished requests open.
type crowd struct {
	h     *host
	w     *memoryWatch
	short bool // heads of a few lines
}

func (c *crowd) run(stop <-chan struct{}) {
	var callers sync.WaitGroup
	for i := range crowdSize {
		callers.Go(func() {
			for attempt := 0; ; attempt++ {
				select {
				case <-stop:
					return
				default:
				}
				c.hold(i, attempt, stop)
			}
		})
	}
	callers.Wait()
}

// hold sends all but the end of a request and waits until the host closes the connection.
func (c *crowd) hold(caller, attempt int, stop <-chan struct{}) {
	nc, err := net.DialTimeout("tcp", c.h.callers(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	c.w.open.Add(1)
	defer c.w.open.Add(-1)
	defer func() { _ = nc.Close() }()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			_ = nc.Close()
		case <-ended:
		}
	}()
	size := shortHeadBytes
	if caller < longHeads {
		size = longHeadBytes
	}
	if c.short {
		size = 0
	}
	_, _ = io.WriteString(nc, crowdHead(caller, attempt, size)+fmt.Sprintf("%x\r\n", bodyStated)+strings.Repeat("x", bodySent))
	_, _ = io.Copy(io.Discard, nc)
	c.w.closed.Add(1)
}

// crowdHead returns a head that is filled with header lines of distinct names to size bytes.
func crowdHead(caller, attempt, size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var head strings.Builder
	fmt.Fprintf(&head, "POST /goka902/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %08x%08x\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n", hostName, caller, attempt)
	for i := 0; head.Len()+len("aa:\r\n\r\n") <= size; i++ {
		fmt.Fprintf(&head, "%c%c:\r\n", letters[i/len(letters)%len(letters)], letters[i%len(letters)])
	}
	return head.String() + "\r\n"
}

// ordinaryCaller sends a request each 200 ms.
func ordinaryCaller(h *host, w *memoryWatch, stop <-chan struct{}) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+h.callers()+"/goka902/2f", nil)
		if err != nil {
			return
		}
		req.Host = hostName
		req.Header.Set("Request-Id", fmt.Sprintf("00ff%012x", i))
		req.Header.Set("Deadline-Ms", "4000")
		resp, err := client.Do(req)
		if err != nil {
			w.failed.Add(1)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.answered.Add(1)
		} else {
			w.failed.Add(1)
		}
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a caller and what became of it.
type attempt struct {
	id, path string
	sent     time.Time
	ended    time.Time
	status   int // 0 if the connection ended without an answer
	retry    string
	err      string
}

// callers sends requests and keeps their outcomes.
type callers struct {
	client http.Client

	mu       sync.Mutex
	next     int
	attempts []attempt
	open     sync.WaitGroup
}

func newCallers() *callers {
	return &callers{client: http.Client{Timeout: 4500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 10 * time.Second}}}
}

// send sends a request in the background. Each has its own ID.
func (c *callers) send(h *host, method, path, body string, limit time.Duration) {
	c.mu.Lock()
	c.next++
	a := attempt{id: fmt.Sprintf("9c41d07b%08x", c.next), path: path, sent: time.Now()}
	c.mu.Unlock()
	c.open.Go(func() {
		req, err := http.NewRequest(method, "http://"+h.callers()+path, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Host = hostName
		req.Header.Set("Request-Id", a.id)
		req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
		resp, err := c.client.Do(req)
		if err == nil {
			a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			a.status, a.err = 0, err.Error()
		}
		a.ended = time.Now()
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
	})
}

// wait waits for the open requests and returns all attempts.
func (c *callers) wait() []attempt {
	c.open.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// logAttempts writes what was sent and answered, and what ran.
func (d *deployment) logAttempts(attempts []attempt, searchers []*searcher) {
	for _, a := range attempts {
		d.log("sent at %.3f s: request %s to %s; at %.3f s: status %d %s %s", a.sent.Sub(d.began).Seconds(), a.id, a.path, a.ended.Sub(d.began).Seconds(), a.status, a.retry, a.err)
	}
	for _, s := range searchers {
		for _, r := range s.seen() {
			end := "without an answer"
			if !r.finished.IsZero() {
				end = fmt.Sprintf("answered at %.3f s", r.finished.Sub(d.began).Seconds())
			}
			d.log("run at %s from %.3f s: request %s, %s", s.id, r.at.Sub(d.began).Seconds(), r.id, end)
		}
	}
}

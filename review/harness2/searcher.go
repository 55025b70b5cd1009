package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// searcher is a stand-in for a target. It runs a request for a set time and answers with its
// digest and a short body.
type searcher struct {
	d                    *deployment
	id, service, address string
	slots                int
	listener             net.Listener
	born                 int64
	work                 time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	fillers  []net.Conn // of the queue of new connections, while the searcher is dark
	state    string
	sequence int
	dark     bool // it reads nothing and answers nothing
	ended    bool
	arrivals []arrival
	// failWith returns the status of the answer to a request that ran, 0 for a success; nil if
	// none fails.
	failWith func(id string) int
	free     chan struct{}
}

// arrival is a request that reached a searcher.
type arrival struct {
	id, path string
	at       time.Time
	finished time.Time // zero for a run without an answer
}

// newSearcher starts a searcher and registers it.
func (d *deployment) newSearcher(id, service string, work time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{d: d, id: id, service: service, address: l.Addr().String(), slots: 3, listener: l, born: time.Now().UnixMilli(), work: work,
		conns: map[net.Conn]struct{}{}, state: "ready", free: make(chan struct{}, 3)}
	go s.accept()
	s.beat()
	return s, nil
}

func (s *searcher) key() string { return "servers/" + s.id }

// beat writes the entry.
func (s *searcher) beat() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{"service": s.service, "address": s.address, "zone": "boston-hall", "config_version": "v1", "max_concurrency": s.slots,
		"state": s.state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born}
	s.mu.Unlock()
	s.d.store.put(s.key(), entry)
}

// drain reports that the searcher leaves.
func (s *searcher) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
}

// goDark makes the searcher silent: it reads and answers nothing more, and nothing answers those
// who open a connection. Its queue of new connections is filled, so that the system drops the
// opening packets as it does for a machine without power.
func (s *searcher) goDark() error {
	s.mu.Lock()
	s.dark = true
	s.mu.Unlock()
	l := s.listener.(*net.TCPListener)
	_ = l.SetDeadline(time.Now()) // ends accept
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 4 {
		go func() {
			if c, err := net.DialTimeout("tcp", s.address, 2*time.Second); err == nil {
				s.mu.Lock()
				s.fillers = append(s.fillers, c)
				s.mu.Unlock()
			}
		}()
	}
	return listenErr
}

// end ends the searcher as an exit of its process does.
func (s *searcher) end() {
	s.mu.Lock()
	s.ended = true
	conns, fillers := s.conns, s.fillers
	s.conns, s.fillers = map[net.Conn]struct{}{}, nil
	s.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
	for _, c := range fillers {
		_ = c.Close()
	}
}

// setFailure sets which requests the searcher fails after it ran them.
func (s *searcher) setFailure(failWith func(id string) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failWith = failWith
}

func (s *searcher) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// seen returns the requests that arrived so far.
func (s *searcher) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ended {
			_ = c.Close()
		} else {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of a connection, one at a time.
func (s *searcher) serve(c net.Conn) {
	defer func() {
		if !s.isDark() {
			_ = c.Close()
		}
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil || s.isDark() {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || s.isDark() {
			return
		}
		if !s.answer(c, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *searcher) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Request-Id")
	if req.URL.Path == "/health" {
		return s.write(c, "200 OK", id, "", nil)
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != s.id {
		return s.write(c, "421 Misdirected Request", id, "", nil)
	}
	select {
	case s.free <- struct{}{}:
		defer func() { <-s.free }()
	case <-time.After(time.Second): // a queue of a few requests
		return s.write(c, "503 Service Unavailable", id, "Not-Executed: 1\r\n", nil)
	}
	s.mu.Lock()
	index := len(s.arrivals)
	s.arrivals = append(s.arrivals, arrival{id: id, path: req.URL.Path, at: time.Now()})
	s.mu.Unlock()
	time.Sleep(s.work)
	if s.isDark() {
		return false
	}
	content := sha256.Sum256(append([]byte(s.service+req.URL.Path), body...))
	status := "200 OK"
	s.mu.Lock()
	failWith := s.failWith
	s.mu.Unlock()
	if failWith != nil {
		if code := failWith(id); code != 0 {
			status = fmt.Sprintf("%d %s", code, http.StatusText(code))
		}
	}
	ok := s.write(c, status, id, fmt.Sprintf("Server-Stamp: %s.%s\r\n", s.id, id), content[:])
	if ok {
		s.mu.Lock()
		s.arrivals[index].finished = time.Now()
		s.mu.Unlock()
	}
	return ok
}

func (s *searcher) write(c net.Conn, status, id, headers string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, s.id, headers, len(body), body)
	return err == nil
}

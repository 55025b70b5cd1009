// Package logsink writes log lines asynchronously, so that a slow reader of the log
// never blocks the caller. It owns a bounded queue and the goroutine that writes it.
// Lines that do not fit into the queue are dropped and counted; the count is written
// every 5 seconds and by Close. The package does not format or filter lines.
//
// Write and Dropped are safe for concurrent use.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines     = 2048
	reportInterval = 5 * time.Second
	// closeTimeout bounds the wait of Close for a reader of the log that has stalled.
	closeTimeout = 100 * time.Millisecond
)

// Sink is an io.Writer that expects one complete line per call of Write.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed by Close; lines stays open, because goroutines that outlive the host still log
	done    chan struct{} // closed when run has returned
}

// New returns a sink that writes to out until Close is called. Errors of out are
// ignored.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of the line or drops the line if the queue is full. It never
// blocks and returns no error. Lines that are written during or after Close may be lost.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last report.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and the count of dropped ones, as far as the log takes them
// within closeTimeout, and stops the sink. A host must not outlast its grace period for a log
// that nobody reads.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			// A write error cannot be reported, because the log itself has failed.
			_, _ = s.out.Write(line)
		case <-s.closing:
			s.flush()
			s.report()
			return
		case <-ticker.C:
			s.report()
		}
	}
}

// flush writes the lines that are queued when it is called.
func (s *Sink) flush() {
	for range len(s.lines) {
		_, _ = s.out.Write(<-s.lines)
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, `{"@level":"warn","@message":"log lines were dropped","count":%d}`+"\n", n)
	}
}

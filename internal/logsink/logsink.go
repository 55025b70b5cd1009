// Package logsink writes log lines without blocking the caller. Lines that do not
// fit the queue are dropped and counted, and the count is written later.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines  = 2048
	reportEvery = 5 * time.Second
)

// Sink is an io.Writer for whole lines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and ends the sink. Write must not be called
// after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.ended
}

func (s *Sink) run() {
	defer close(s.ended)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-s.lines:
			if !ok {
				s.report()
				return
			}
			// There is no better place for an error of the log itself.
			_, _ = s.out.Write(line)
		case <-ticker.C:
			s.report()
		}
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, `{"@level":"warn","@message":"log lines were dropped","count":%d}`+"\n", n)
	}
}

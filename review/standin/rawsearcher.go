package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	recordBytes    = 16
	recordsOfAPart = 8
	// queued is the number of requests that a searcher queues beside those in its slots.
	queued = 2
	// oneIn is the number of answers of a faulty searcher of which at most one is followed by
	// further bytes.
	oneIn = 34
)

// rawSearcher is a searcher that writes its answers byte by byte. While it is faulty, it sends
// the beginning of a second copy of some answers after them, late: at the point where the next
// answer on the connection is expected. Otherwise it is sound.
type rawSearcher struct {
	id, service, address string
	work                 time.Duration
	slots                chan struct{}
	// spoils reports whether an answer may be followed by further bytes.
	spoils func(refusal bool) bool

	mu                         sync.Mutex
	rng                        *rand.Rand
	faulty                     bool
	admitted                   int // requests that run or wait for a slot
	answers, refusals, spoiled int // while it is faulty
	runs                       map[string]int
	before                     map[string]string // further bytes sent before the answer to a request
}

func newRawSearcher(id, service string, slots int, work time.Duration, seed uint64, spoils func(refusal bool) bool) (*rawSearcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &rawSearcher{id: id, service: service, address: l.Addr().String(), work: work, slots: make(chan struct{}, slots),
		spoils: spoils, rng: rand.New(rand.NewPCG(seed, seed)), runs: map[string]int{}, before: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *rawSearcher) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// serve answers the requests of a connection, one after the other.
func (s *rawSearcher) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	late := "" // further bytes that follow the last answer
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if s.takesPlace(late, r.Header.Get("Request-Id")) {
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
		}
		answer, refusal := s.answer(r)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		late = s.furtherBytes(answer, refusal)
	}
}

// answer runs a request, or refuses it, and returns its answer.
func (s *rawSearcher) answer(r *http.Request) (answer string, refusal bool) {
	id, date := r.Header.Get("Request-Id"), time.Now().UTC().Format(http.TimeFormat)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nDate: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, date, id), true
	}
	if !s.admit() {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nDate: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", date, id), true
	}
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	<-s.slots
	s.mu.Lock()
	s.admitted--
	s.mu.Unlock()
	part := partOf(s.service, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nDate: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", stampOf(s.id, id), date, id, len(part), part), false
}

// admit reports whether there is room for another request.
func (s *rawSearcher) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted >= cap(s.slots)+queued {
		return false
	}
	s.admitted++
	return true
}

// furtherBytes counts an answer and returns the bytes that may follow it: the beginning of a
// second copy, which breaks off at any byte, or nothing.
func (s *rawSearcher) furtherBytes(answer string, refusal bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty {
		return ""
	}
	s.answers++
	if refusal {
		s.refusals++
	}
	if !s.spoils(refusal) {
		return ""
	}
	return answer[:1+s.rng.IntN(len(answer)-1)]
}

// takesPlace reports whether further bytes are sent before the answer to a request, and counts
// them: at most one answer in oneIn has any.
func (s *rawSearcher) takesPlace(late, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late == "" || !s.faulty || (s.spoiled+1)*oneIn > s.answers {
		return false
	}
	s.spoiled++
	s.before[id] = late
	return true
}

// noteFurtherBytes writes to the record what searchers sent before their answers to a request.
func (p *play) noteFurtherBytes(searchers []*rawSearcher, id string) {
	for _, s := range searchers {
		s.mu.Lock()
		if late := s.before[id]; late != "" {
			p.note("  %s sent %q before its whole answer to this request", s.id, late)
		}
		s.mu.Unlock()
	}
}

// noteFaults writes to the record how many answers of the searchers were followed by further bytes.
func (p *play) noteFaults(searchers []*rawSearcher) {
	for _, s := range searchers {
		s.mu.Lock()
		p.note("%s of %s: %d answers while faulty, %d of them refusals, %d followed by further bytes", s.id, s.service, s.answers, s.refusals, s.spoiled)
		s.mu.Unlock()
	}
}

// faultyShare is the share of the searchers that are faulty.
const faultyShare = 0.6

func (p *play) makeFaulty(searchers []*rawSearcher) {
	faulty := int(faultyShare * float64(len(searchers)))
	for _, s := range searchers[:faulty] {
		s.setFaulty(true)
	}
	p.note("%d of %d searchers send the beginning of a second answer after one in %d answers at most, late", faulty, len(searchers), oneIn)
}

func (p *play) makeSound(searchers []*rawSearcher) {
	for _, s := range searchers {
		s.setFaulty(false)
	}
	p.note("all searchers are sound again")
}

// partOf returns the records of a service for a request.
func partOf(service, id string) []byte {
	var part []byte
	for i := range recordsOfAPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d", service, id, i))
		part = append(part, sum[:recordBytes]...)
	}
	return part
}

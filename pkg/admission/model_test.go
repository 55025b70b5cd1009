package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/admission"
	"github.com/lacewingyard/lacewingyard/pkg/balance"
)

// kind is a kind of requests in the model.
type kind struct {
	name      string
	priority  int
	shards    int
	service   time.Duration // on a target
	objective time.Duration
	perSecond float64 // calm, to all hosts together
}

// The model has a third of the shards of deployment T, each of which costs three times the
// processor time, so that a host does as many fan-outs.
const (
	modelHosts    = 4
	modelShards   = 12
	modelReplicas = 2
	modelSlots    = 4
	modelQueue    = 8
	cores         = 0.8
	sendCPU       = 300 * time.Microsecond // before the send
	answerCPU     = 150 * time.Microsecond // for its answer
)

var kinds = []kind{
	{"sweep", 1, modelShards, 15 * time.Millisecond, 150 * time.Millisecond, 90},
	{"urgent", 0, modelShards, 5 * time.Millisecond, 60 * time.Millisecond, 30},
	{"fetch", 2, 1, 40 * time.Millisecond, 500 * time.Millisecond, 35},
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any     { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

type result struct{ sent, inTime, late, refused, refusedLate int }

func (r result) share() float64 { return float64(r.inTime) / float64(max(1, r.sent)) }

type modelTarget struct {
	busy    int
	queue   []func()
	slow    float64
	crashed bool
}

type modelHost struct {
	cpuFree time.Time
	noRoom  time.Time
	queue   *admission.Queue
	targets [modelShards][modelReplicas]*balance.Target
	waits   [modelShards][3]int
	waiting map[*admission.Ticket]func(admission.Decision)
}

type model struct {
	now      time.Time
	events   events
	seq      int
	rng      *rand.Rand
	limited  bool // by a Queue; otherwise all requests run at once
	targets  [modelShards][modelReplicas]*modelTarget
	hosts    []*modelHost
	results  map[string]*result
	bySecond map[int]*result // of the urgent kind
	inForce  time.Time       // the last time at which a limit was in force
}

func newModel(seed uint64, limited bool, slow, crashed float64) *model {
	m := &model{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, seed)), limited: limited, results: map[string]*result{}, bySecond: map[int]*result{}}
	for s := range m.targets {
		for r := range m.targets[s] {
			u := m.rng.Float64()
			t := &modelTarget{slow: 1, crashed: u < crashed && r > 0}
			if u < slow {
				t.slow = 6
			}
			m.targets[s][r] = t
		}
	}
	for range modelHosts {
		h := &modelHost{queue: admission.NewQueue(), waiting: map[*admission.Ticket]func(admission.Decision){}}
		for s := range h.targets {
			for r := range h.targets[s] {
				h.targets[s][r] = balance.NewTarget(modelSlots)
			}
		}
		m.hosts = append(m.hosts, h)
	}
	for _, k := range kinds {
		m.results[k.name] = &result{}
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, run})
}

// cpu runs a step once the processor of the host has done all before it and this work.
func (m *model) cpu(h *modelHost, work time.Duration, run func()) {
	if h.cpuFree.Before(m.now) {
		h.cpuFree = m.now
	}
	h.cpuFree = h.cpuFree.Add(time.Duration(float64(work) / cores))
	m.after(h.cpuFree.Sub(m.now), run)
}

// run sends requests for the given time at a factor of the calm load and then lets them end.
func (m *model) run(length time.Duration, factor func(time.Duration) float64) {
	start := m.now
	for i := range kinds {
		k := &kinds[i]
		for at := time.Duration(0); at < length; {
			at += time.Duration(m.rng.ExpFloat64() / (k.perSecond * factor(at)) * float64(time.Second))
			second := int(at / time.Second)
			m.after(at, func() { m.arrive(k, m.hosts[m.rng.IntN(modelHosts)], second) })
		}
	}
	for len(m.events) > 0 && m.now.Before(start.Add(length+3*time.Second)) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func (m *model) arrive(k *kind, h *modelHost, second int) {
	r := m.results[k.name]
	r.sent++
	s := &result{}
	if k.priority == 0 {
		if m.bySecond[second] == nil {
			m.bySecond[second] = s
		}
		s = m.bySecond[second]
		s.sent++
	}
	x := &fanOut{m: m, h: h, k: k, received: m.now, answerBy: m.now.Add(k.objective * 9 / 10)}
	x.end = func(outcome string) {
		switch {
		case outcome == "refused":
			r.refused++
			if m.now.Sub(x.received) > k.objective/4+time.Millisecond {
				r.refusedLate++
			}
		case m.now.Before(x.received.Add(k.objective)):
			r.inTime++
			s.inTime++
		default:
			r.late++
		}
	}
	m.cpu(h, 150*time.Microsecond, x.offer)
}

// settle passes the verdicts of a queue on.
func (m *model) settle(h *modelHost) {
	for _, v := range h.queue.Next(m.now) {
		run := h.waiting[v.Ticket]
		delete(h.waiting, v.Ticket)
		run(v.Decision)
	}
	if h.queue.InForce() {
		m.inForce = m.now
	}
}

package telemetry

import (
	"sync"
	"time"
)

// RecentWindow is the time over which Recent sums up; bucketSeconds of it share
// a bucket.
const (
	RecentWindow  = time.Minute
	bucketSeconds = 5
	buckets       = int(RecentWindow/time.Second) / bucketSeconds
)

// Recent sums up the answers of the last minute by service, for people who look
// at one host without a metrics system. It is safe for concurrent use.
type Recent struct {
	mu       sync.Mutex
	services map[string]*[buckets]bucket
}

// bucket sums up bucketSeconds of one service.
type bucket struct {
	period int64 // Unix time / bucketSeconds
	Window
	covered float64
}

// Window is what happened to one service in the last minute.
type Window struct {
	Answers  int `json:"answers"`
	Searches int `json:"searches"` // answers that state a coverage
	Failed   int `json:"failed"`   // requests without an answer
	// CoverageMean and CoverageMin are of the searches; 0 without one.
	CoverageMean float64 `json:"coverage_mean"`
	CoverageMin  float64 `json:"coverage_min"`
}

func (b *bucket) search(coverage float64) {
	if b.Searches == 0 || coverage < b.CoverageMin {
		b.CoverageMin = coverage
	}
	b.Searches++
	b.covered += coverage
}

func (r *Recent) add(now time.Time, service string, change func(*bucket)) {
	period := now.Unix() / bucketSeconds
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.services[service]
	if ring == nil {
		ring = new([buckets]bucket)
		if r.services == nil {
			r.services = map[string]*[buckets]bucket{}
		}
		r.services[service] = ring
	}
	b := &ring[period%int64(buckets)]
	if b.period != period {
		*b = bucket{period: period}
	}
	change(b)
}

// Window returns what happened to a service in the last minute.
func (r *Recent) Window(now time.Time, service string) (sum Window) {
	oldest := now.Unix()/bucketSeconds - int64(buckets)
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.services[service]
	if ring == nil {
		return sum
	}
	covered := 0.0
	for i := range ring {
		b := &ring[i]
		if b.period <= oldest {
			continue
		}
		if b.Searches > 0 && (sum.Searches == 0 || b.CoverageMin < sum.CoverageMin) {
			sum.CoverageMin = b.CoverageMin
		}
		sum.Answers += b.Answers
		sum.Searches += b.Searches
		sum.Failed += b.Failed
		covered += b.covered
	}
	if sum.Searches > 0 {
		sum.CoverageMean = covered / float64(sum.Searches)
	}
	return sum
}

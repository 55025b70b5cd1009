package telemetry

import (
	"sync"
	"time"
)

// RecentWindow is the time over which Recent aggregates, in buckets of bucketSeconds.
const (
	RecentWindow  = time.Minute
	bucketSeconds = 5
	buckets       = int(RecentWindow/time.Second) / bucketSeconds
)

// Recent aggregates the answers and failures of the last minute by service, for the status
// page of a host, which needs no metrics system. It is safe for concurrent use.
type Recent struct {
	mu       sync.Mutex
	services map[string]*[buckets]bucket
}

// bucket aggregates bucketSeconds of one service.
type bucket struct {
	period int64 // Unix time in seconds / bucketSeconds
	Window
	coverageSum float64
}

// Window holds the aggregates of one service over a time: the last minute, or one bucket.
type Window struct {
	Answers  int `json:"answers"`
	Searches int `json:"searches"` // answers to searches, which have a coverage
	Failed   int `json:"failed"`   // requests without an answer
	// CoverageMean and CoverageMin are over the searches, 0 to 1; 0 without searches.
	CoverageMean float64 `json:"coverage_mean"`
	CoverageMin  float64 `json:"coverage_min"`
}

func (b *bucket) addSearch(coverage float64) {
	if b.Searches == 0 || coverage < b.CoverageMin {
		b.CoverageMin = coverage
	}
	b.Searches++
	b.coverageSum += coverage
}

func (r *Recent) add(now time.Time, service string, update func(*bucket)) {
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
	update(b)
}

// Window returns the aggregates of a service over the last minute.
func (r *Recent) Window(now time.Time, service string) (sum Window) {
	oldest := now.Unix()/bucketSeconds - int64(buckets)
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.services[service]
	if ring == nil {
		return sum
	}
	coverageSum := 0.0
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
		coverageSum += b.coverageSum
	}
	if sum.Searches > 0 {
		sum.CoverageMean = coverageSum / float64(sum.Searches)
	}
	return sum
}

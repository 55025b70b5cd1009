package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	newEngland = "../../examples/new-england"
	riga       = "../../examples/riga"
)

// startFleet starts an example deployment with only one of its services.
func startFleet(ctx context.Context, dir, service string, overrides settings.Overrides) *fleet.Fleet {
	d, err := fleet.Load(dir)
	Expect(err).NotTo(HaveOccurred())
	s := d.Document.Services[service]
	if s.Settings == nil {
		s.Settings = settings.Overrides{}
	}
	for name, value := range overrides {
		s.Settings[name] = value
	}
	d.Document.Services = map[string]settings.Service{service: s}
	f, err := fleet.Start(ctx, d, hclog.NewNullLogger())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return f
}

// search sends a search to a host; the index wraps around.
func search(ctx context.Context, f *fleet.Fleet, host int, service string, req api.SearchRequest) (*api.SearchResponse, error) {
	return searchWith(ctx, f, host, service, req, nil)
}

// searchWith sends a search with headers to a host.
func searchWith(ctx context.Context, f *fleet.Fleet, host int, service string, req api.SearchRequest, headers map[string]string) (*api.SearchResponse, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	url := "http://" + f.Hosts[host%len(f.Hosts)].Entry.Callers + "/v1/services/" + service + "/search"
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		post.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(post)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return nil, errors.Newf("status %s: %s", resp.Status, body)
	}
	answer := new(api.SearchResponse)
	return answer, json.NewDecoder(resp.Body).Decode(answer)
}

// checkNaive returns an error if the records of an answer with full coverage differ
// from those of the naive search at the same snapshot. It does not check other answers.
func checkNaive(f *fleet.Fleet, service string, req api.SearchRequest, answer *api.SearchResponse) error {
	want := f.Datasets[service].Search(answer.Snapshot, req.Terms, req.Limit)
	if answer.Coverage == 1 && !slices.Equal(answer.Records, want) {
		return errors.Newf("answer differs from the naive search: %d records at snapshot %d, want %d", len(answer.Records), answer.Snapshot, len(want))
	}
	return nil
}

// loadResult holds the results of queries that were sent at a constant rate.
type loadResult struct {
	mu          sync.Mutex
	latency     *hdrhistogram.Histogram // microseconds
	sent        int
	failed      int
	answeredBy  map[int]int // answers by index of the host
	coverage    float64
	wrongAnswer error
	incomplete  string // describes the last query that failed or had an incomplete answer
}

// latencyAt returns the latency at a percentile from 0 to 100.
func (l *loadResult) latencyAt(percentile float64) time.Duration {
	return time.Duration(l.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// meanCoverage returns the mean coverage of the answers; a failed query counts as 0.
func (l *loadResult) meanCoverage() float64 { return l.coverage / float64(l.sent) }

// drive sends queries to all hosts in turn at a constant rate, without waiting for
// earlier answers.
func drive(ctx context.Context, f *fleet.Fleet, service string, queries int, interval time.Duration) *loadResult {
	l := &loadResult{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), answeredBy: map[int]int{}}
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	terms := []string{"red", "oak", "hood", "slab"}
	for i := range queries {
		<-tick.C
		wg.Go(func() {
			req := api.SearchRequest{Terms: terms[i%len(terms) : i%len(terms)+1], Limit: 20}
			start := time.Now()
			answer, err := search(ctx, f, i, service, req)
			took := time.Since(start)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent++
			_ = l.latency.RecordValue(took.Microseconds())
			if err != nil {
				l.failed++
				l.incomplete = fmt.Sprintf("query %d: %v", i, err)
				return
			}
			l.answeredBy[i%len(f.Hosts)]++
			if answer.Coverage < 1 {
				l.incomplete = fmt.Sprintf("query %d took %s: coverage %v at snapshot %d, %v", i, took, answer.Coverage, answer.Snapshot, answer.Warnings)
			}
			l.coverage += answer.Coverage
			if err := checkNaive(f, service, req, answer); err != nil {
				l.wrongAnswer = err
			}
		})
	}
	wg.Wait()
	return l
}

// executedSearches returns the number of search sub-requests that the targets ran.
func executedSearches(f *fleet.Fleet) (n int64) {
	for _, s := range f.Searchers {
		n += s.Counts().Searches.Load()
	}
	return n
}

func rawJSON(text string) json.RawMessage { return json.RawMessage(text) }

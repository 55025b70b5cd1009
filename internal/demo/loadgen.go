package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
)

const (
	// maxInFlight is the maximum number of background searches in progress. A search
	// above it is skipped and counted.
	maxInFlight = 64
	// entriesMaxAge is the maximum age of a cached entries answer.
	entriesMaxAge = time.Second
)

// loadGenerator sends searches as a caller does, to the addresses of an entries answer.
// refresh and send are called from one goroutine.
type loadGenerator struct {
	opts        Options
	addresses   []string      // of the last entries answer; initially of all hosts
	refreshedAt time.Time     // of the last attempt
	inFlight    chan struct{} // semaphore of the searches in progress
	wg          sync.WaitGroup

	mu                                  sync.Mutex // guards the fields below, except skipped, which only send writes
	complete, partial, refused, skipped int
	lastError                           string // time and error of the last refused search, as a suffix of String
}

func newLoadGenerator(f *fleet.Fleet, opts Options) *loadGenerator {
	g := &loadGenerator{opts: opts, inFlight: make(chan struct{}, maxInFlight)}
	for _, h := range f.Running() {
		g.addresses = append(g.addresses, h.Entry.Callers)
	}
	return g
}

// refresh requests the addresses from a random host if they are older than
// entriesMaxAge. On an error the old ones stay in use.
func (g *loadGenerator) refresh(ctx context.Context) {
	if time.Since(g.refreshedAt) < entriesMaxAge {
		return
	}
	g.refreshedAt = time.Now()
	var answer api.EntriesResponse
	host := g.addresses[g.opts.Rand.IntN(len(g.addresses))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/entries", nil)
	if err != nil {
		return
	}
	resp, err := g.opts.HTTPClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if err := api.ReadAnswer(resp, &answer); err != nil || len(answer.Entries) == 0 {
		return
	}
	g.addresses = g.addresses[:0]
	for _, e := range answer.Entries {
		g.addresses = append(g.addresses, e.Address)
	}
}

// send starts one search, or skips it if too many are in progress.
func (g *loadGenerator) send(ctx context.Context, service string) {
	g.refresh(ctx)
	host := g.addresses[g.opts.Rand.IntN(len(g.addresses))]
	req := api.SearchRequest{Terms: []string{standin.RandomWord(g.opts.Rand)}, Limit: 20, MinCoverage: 1}
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.skipped++
		return
	}
	g.wg.Go(func() {
		defer func() { <-g.inFlight }()
		var answer api.SearchResponse
		// The end of the session does not cancel the search; its deadline bounds it.
		err := post(context.WithoutCancel(ctx), g.opts.HTTPClient, host, service, "search", "", req, &answer)
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case err != nil:
			g.refused++
			g.lastError = fmt.Sprintf("; last error at %s: %v", time.Now().Format(time.TimeOnly), err)
		case answer.Coverage < 1:
			g.partial++
		default:
			g.complete++
		}
	})
}

func (g *loadGenerator) wait() { g.wg.Wait() }

// String returns the results of the searches. It must not be called before wait.
func (g *loadGenerator) String() string {
	return fmt.Sprintf("%d complete, %d partial, %d refused or failed, %d skipped%s", g.complete, g.partial, g.refused, g.skipped, g.lastError)
}

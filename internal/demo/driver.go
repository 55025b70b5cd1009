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
	// maxOpen bounds the queries in progress of the load that goes on beside an
	// operator's work; one more is left out and counted.
	maxOpen = 64
	// askEvery is the longest time for which an entries answer is kept.
	askEvery = time.Second
)

// driver sends searches as a caller does: to addresses of an entries answer.
type driver struct {
	opts  Options
	known []string // addresses of the last entries answer; at first all hosts
	asked time.Time
	open  chan struct{}
	wg    sync.WaitGroup

	mu                                  sync.Mutex // guards what follows
	answered, partial, refused, skipped int
	sample                              string // why the last one was refused
}

func newDriver(f *fleet.Fleet, opts Options) *driver {
	d := &driver{opts: opts, open: make(chan struct{}, maxOpen)}
	for _, h := range f.Running() {
		d.known = append(d.known, h.Entry.Callers)
	}
	return d
}

// refresh asks a host for the addresses to use.
func (d *driver) refresh(ctx context.Context) {
	if time.Since(d.asked) < askEvery {
		return
	}
	d.asked = time.Now()
	var answer api.EntriesResponse
	host := d.known[d.opts.Rand.IntN(len(d.known))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/entries", nil)
	if err != nil {
		return
	}
	resp, err := d.opts.HTTPClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if err := api.ReadAnswer(resp, &answer); err != nil || len(answer.Entries) == 0 {
		return
	}
	d.known = d.known[:0]
	for _, e := range answer.Entries {
		d.known = append(d.known, e.Address)
	}
}

// send starts one search.
func (d *driver) send(ctx context.Context, service string) {
	d.refresh(ctx)
	host := d.known[d.opts.Rand.IntN(len(d.known))]
	req := api.SearchRequest{Terms: []string{standin.RandomWord(d.opts.Rand)}, Limit: 20, MinCoverage: 1}
	select {
	case d.open <- struct{}{}:
	default:
		d.skipped++
		return
	}
	d.wg.Go(func() {
		defer func() { <-d.open }()
		var answer api.SearchResponse
		// A query in progress at the end gets its answer; its deadline bounds it.
		err := post(context.WithoutCancel(ctx), d.opts.HTTPClient, host, service, "search", "", req, &answer)
		d.mu.Lock()
		defer d.mu.Unlock()
		switch {
		case err != nil:
			d.refused++
			d.sample = fmt.Sprintf("; the last at %s: %v", time.Now().Format(time.TimeOnly), err)
		case answer.Coverage < 1:
			d.partial++
		default:
			d.answered++
		}
	})
}

func (d *driver) wait() { d.wg.Wait() }

// String says what became of the searches.
func (d *driver) String() string {
	return fmt.Sprintf("%d answered whole, %d in part, %d refused or failed, %d left out%s", d.answered, d.partial, d.refused, d.skipped, d.sample)
}

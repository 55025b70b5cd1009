// Package demo sends queries to a running deployment and compares each answer,
// record by record, with a naive search of all records.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// deadline is long, because the demo checks whole answers: with the deadlines of
// the services a busy machine would give some that are partial, as it should.
const deadline = 3 * time.Second

// Options of a run.
type Options struct {
	Queries    int           // to each service
	Timeout    time.Duration // for the whole run
	Logger     hclog.Logger
	HTTPClient *http.Client
	Rand       *rand.Rand
	// Progress is told which part begins; nil reports no progress. The check of
	// one service takes some seconds.
	Progress io.Writer

	// AfterCheck is called with the report before the deployment is stopped; nil does
	// nothing.
	AfterCheck func(ctx context.Context, f *fleet.Fleet, report *Report) error
}

// Report is the result of a run.
type Report struct {
	Hosts     int                       `json:"hosts"`
	Searchers int                       `json:"searchers"`
	Services  map[string]*ServiceReport `json:"services"`
}

// ServiceReport is the result for one service.
type ServiceReport struct {
	Kind      settings.ServiceKind `json:"kind"`
	Sent      int                  `json:"sent"`
	Equal     int                  `json:"equal"`   // answers equal to the naive search
	Wrong     int                  `json:"wrong"`   // answers that differ from it, or that claim what they do not hold
	Refused   int                  `json:"refused"` // no answer
	Coverage  float64              `json:"coverage"`
	Snapshots []uint64             `json:"snapshots"`
	P50MS     float64              `json:"p50_ms"`
	P90MS     float64              `json:"p90_ms"`
	P99MS     float64              `json:"p99_ms"`
	Sample    string               `json:"sample,omitempty"`

	latency *hdrhistogram.Histogram // microseconds
	covered float64
}

// WrongOrMissing returns the number of wrong or missing answers of all services.
func (r *Report) WrongOrMissing() int {
	n := 0
	for _, s := range r.Services {
		n += s.Wrong + s.Refused
	}
	return n
}

// Run starts a deployment, sends queries to each service and stops it.
func Run(ctx context.Context, d *fleet.Deployment, opts Options) (*Report, error) {
	limited, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	opts.progress("starting %d places with their hosts and searchers", len(d.Document.Places))
	f, err := fleet.Start(limited, d, opts.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "start the deployment")
	}
	defer f.Close()
	report, err := check(limited, d, f, opts)
	if err == nil && opts.AfterCheck != nil {
		err = opts.AfterCheck(ctx, f, report)
	}
	return report, err
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// check sends queries to each service and compares the answers.
func check(ctx context.Context, d *fleet.Deployment, f *fleet.Fleet, opts Options) (*Report, error) {
	report := &Report{Hosts: len(f.Hosts), Searchers: len(f.Searchers), Services: map[string]*ServiceReport{}}
	for _, name := range slices.Sorted(maps.Keys(d.Document.Services)) {
		service := d.Document.Services[name]
		opts.progress("%s: sending %d requests", name, opts.Queries)
		s := &ServiceReport{Kind: service.Kind, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
		report.Services[name] = s
		for range opts.Queries {
			if err := ctx.Err(); err != nil {
				return nil, errors.Wrap(err, "demo was stopped")
			}
			host := f.Hosts[opts.Rand.IntN(len(f.Hosts))].Entry.Callers
			start := time.Now()
			if service.Kind == settings.KindSearch {
				s.search(ctx, f, name, host, opts)
			} else {
				s.lookup(ctx, f, name, host, opts)
			}
			_ = s.latency.RecordValue(time.Since(start).Microseconds())
		}
		s.summarise()
	}
	return report, nil
}

func (s *ServiceReport) search(ctx context.Context, f *fleet.Fleet, service, host string, opts Options) {
	req := api.SearchRequest{Terms: []string{standin.RandomWord(opts.Rand)}, Limit: opts.Rand.IntN(100), MinCoverage: 1}
	var answer api.SearchResponse
	s.Sent++
	if err := post(ctx, opts.HTTPClient, host, service, "search", "", req, &answer); err != nil {
		s.Refused++
		s.Sample = err.Error()
		return
	}
	want := f.Datasets[service].Search(answer.Snapshot, req.Terms, req.Limit)
	s.covered += answer.Coverage
	s.sawSnapshot(answer.Snapshot)
	if answer.Coverage == 1 && !slices.Equal(answer.Records, want) {
		s.Wrong++
		s.Sample = fmt.Sprintf("WRONG: %d records, the naive search finds %d", len(answer.Records), len(want))
		return
	}
	if answer.Coverage == 1 {
		s.Equal++
	}
	if len(answer.Records) > 0 && s.Wrong == 0 {
		s.Sample = fmt.Sprintf("%q found %d records, the first is %s %q", req.Terms, len(answer.Records), answer.Records[0].ID, answer.Records[0].Text)
	}
}

func (s *ServiceReport) lookup(ctx context.Context, f *fleet.Fleet, service, host string, opts Options) {
	data := f.Datasets[service]
	req := api.LookupRequest{ID: data.RandomID(opts.Rand)}
	var answer api.LookupResponse
	s.Sent++
	id, err := s.requestID(ctx, f, opts)
	if err == nil {
		err = post(ctx, opts.HTTPClient, host, service, "lookup", id, req, &answer)
	}
	if err != nil {
		s.Refused++
		s.Sample = err.Error()
		return
	}
	want, _ := data.Lookup(answer.Snapshot, req.ID)
	s.covered++
	s.sawSnapshot(answer.Snapshot)
	if answer.Record == nil || *answer.Record != want {
		s.Wrong++
		s.Sample = fmt.Sprintf("WRONG: got %v, want %v", answer.Record, want)
		return
	}
	s.Equal++
	s.Sample = fmt.Sprintf("%s is %q", want.ID, want.Text)
}

// requestID returns an identifier for a command, with a ticket of any host, so
// that most commands are forwarded.
func (s *ServiceReport) requestID(ctx context.Context, f *fleet.Fleet, opts Options) (string, error) {
	if s.Kind != settings.KindCommand {
		return "", nil
	}
	var ticket api.TicketResponse
	home := f.Hosts[opts.Rand.IntN(len(f.Hosts))].Entry.Callers
	if err := postPath(ctx, opts.HTTPClient, home, "/v1/tickets", "", nil, &ticket); err != nil {
		return "", err
	}
	return ticket.TicketPrefix + strconv.Itoa(s.Sent), nil
}

func (s *ServiceReport) sawSnapshot(version uint64) {
	if !slices.Contains(s.Snapshots, version) {
		s.Snapshots = append(s.Snapshots, version)
	}
}

func (s *ServiceReport) summarise() {
	if answered := s.Sent - s.Refused; answered > 0 {
		s.Coverage = s.covered / float64(answered)
	}
	at := func(quantile float64) float64 { return float64(s.latency.ValueAtQuantile(quantile)) / 1000 }
	s.P50MS, s.P90MS, s.P99MS = at(50), at(90), at(99)
}

func post(ctx context.Context, client *http.Client, host, service, verb, id string, body, answer any) error {
	return postPath(ctx, client, host, "/v1/services/"+service+"/"+verb, id, body, answer)
}

func postPath(ctx context.Context, client *http.Client, host, path, id string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	if id != "" {
		req.Header.Set(api.HeaderRequestID, id)
	}
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return api.ReadAnswer(resp, answer)
}

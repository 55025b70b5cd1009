// Package demo runs a whole deployment on loopback, sends requests to each service and
// compares each answer, record by record, with a naive search of all records. A Session
// can keep the deployment running afterwards, publish the files that operators edit and
// generate background load.
//
// The package owns the deployment that Run starts and stops it before Run returns. It
// does not route requests or judge latency: hosts and stand-ins are those of
// internal/fleet. Requests of the check are sent one at a time.
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
	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// answerDeadline is the deadline of every request. It is longer than those of the
// services, which allow partial answers on a busy machine; the demo compares complete
// ones.
const answerDeadline = 3 * time.Second

// Options are the parameters of a run.
type Options struct {
	Queries    int           // number of queries to each service
	Timeout    time.Duration // for the start and the check; AfterCheck is not bounded by it
	Logger     hclog.Logger
	HTTPClient *http.Client
	Rand       *rand.Rand
	// Progress receives a line when the start of the deployment and the check of each
	// service begin; nil discards them. The check of one service takes some seconds.
	Progress io.Writer

	// AfterCheck is called with the report before the deployment is stopped, unless the
	// check returned an error. It may be nil.
	AfterCheck func(ctx context.Context, f *fleet.Fleet, report *Report) error
}

// Report is the result of a run.
type Report struct {
	Hosts     int                       `json:"hosts"`
	Searchers int                       `json:"searchers"`
	Services  map[string]*ServiceReport `json:"services"`
	// Tenants are the tenants of the configuration with their requests to all hosts.
	Tenants []daemon.TenantStatus `json:"tenants,omitempty"`
}

// ServiceReport is the result for one service. Latencies include refused requests and,
// for commands, the request for a ticket.
type ServiceReport struct {
	Kind      settings.ServiceKind `json:"kind"`
	Sent      int                  `json:"sent"`
	Equal     int                  `json:"equal"`   // complete answers equal to the naive search
	Wrong     int                  `json:"wrong"`   // answers that differ from the naive search and claim full coverage
	Refused   int                  `json:"refused"` // requests refused or failed, without an answer
	Coverage  float64              `json:"coverage"`
	Snapshots []uint64             `json:"snapshots"`
	P50MS     float64              `json:"p50_ms"`
	P90MS     float64              `json:"p90_ms"`
	P99MS     float64              `json:"p99_ms"`
	Sample    string               `json:"sample,omitempty"`

	latency     *hdrhistogram.Histogram // microseconds
	coverageSum float64                 // sum of the coverage of all answers
}

// WrongOrMissing returns the number of wrong answers and of requests without an answer,
// over all services.
func (r *Report) WrongOrMissing() int {
	n := 0
	for _, s := range r.Services {
		n += s.Wrong + s.Refused
	}
	return n
}

// Run starts a deployment, checks the answers of each service, calls opts.AfterCheck and
// stops the deployment. Wrong answers are part of the report, not an error; an error
// means that the deployment did not start, the time ran out, the context ended or
// AfterCheck failed.
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

// check sends requests to each service and compares the answers.
func check(ctx context.Context, d *fleet.Deployment, f *fleet.Fleet, opts Options) (*Report, error) {
	report := &Report{Hosts: len(f.Hosts), Searchers: len(f.Searchers), Services: map[string]*ServiceReport{}}
	for _, name := range slices.Sorted(maps.Keys(d.Document.Services)) {
		service := d.Document.Services[name]
		opts.progress("%s: sending %d requests", name, opts.Queries)
		s := &ServiceReport{Kind: service.Kind, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
		report.Services[name] = s
		for range opts.Queries {
			if err := ctx.Err(); err != nil {
				return nil, errors.Wrap(err, "check of the answers was interrupted")
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
	report.Tenants = tenantUse(f)
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
	expected := f.Datasets[service].Search(answer.Snapshot, req.Terms, req.Limit)
	s.coverageSum += answer.Coverage
	s.addSnapshot(answer.Snapshot)
	if answer.Coverage == 1 && !slices.Equal(answer.Records, expected) {
		s.Wrong++
		s.Sample = fmt.Sprintf("WRONG: %d records, the naive search finds %d", len(answer.Records), len(expected))
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
	expected, _ := data.Lookup(answer.Snapshot, req.ID)
	s.coverageSum++
	s.addSnapshot(answer.Snapshot)
	if answer.Record == nil || *answer.Record != expected {
		s.Wrong++
		s.Sample = fmt.Sprintf("WRONG: got %v, expected %v", answer.Record, expected)
		return
	}
	s.Equal++
	s.Sample = fmt.Sprintf("%s is %q", expected.ID, expected.Text)
}

// requestID returns a request identifier with the ticket of a random host, so that most
// commands are forwarded to their home. It is empty for services of other kinds.
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

func (s *ServiceReport) addSnapshot(version uint64) {
	if !slices.Contains(s.Snapshots, version) {
		s.Snapshots = append(s.Snapshots, version)
	}
}

func (s *ServiceReport) summarise() {
	if answered := s.Sent - s.Refused; answered > 0 {
		s.Coverage = s.coverageSum / float64(answered)
	}
	quantileMS := func(quantile float64) float64 { return float64(s.latency.ValueAtQuantile(quantile)) / 1000 }
	s.P50MS, s.P90MS, s.P99MS = quantileMS(50), quantileMS(90), quantileMS(99)
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
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(answerDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return api.ReadAnswer(resp, answer)
}

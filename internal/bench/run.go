package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// warmupDuration is how long the load runs before it is measured, so that
	// connections are open and the router has latencies of every path.
	warmupDuration = 1500 * time.Millisecond
	// drainTimeout bounds the wait for the last answers.
	drainTimeout = 10 * time.Second
	settleDelay  = 100 * time.Millisecond // for the stand-ins to end cancelled requests
	// defaultSeconds is the length of a run if neither the options nor the case give one.
	defaultSeconds   = 10
	progressInterval = 5 * time.Second
)

// Options are the parameters of a run.
type Options struct {
	Case     *Case
	Policy   Policy
	Seed     uint64
	Seconds  float64 // length of the measured time; 0 for the case's
	Rate     float64 // queries/s over all services; 0 for the case's load or rate
	Load     float64 // fraction of the slot capacity, overrides Rate; 0 for the case's load or rate
	Logger   hclog.Logger
	Progress io.Writer // receives a line every 5 s; nil for none
}

// runner holds the state of one run.
type runner struct {
	opts     Options
	fleet    *fleet.Fleet
	cluster  cluster
	checker  *checker
	recorder *recorder
	callers  []*caller
	wg       sync.WaitGroup
}

// Run starts a deployment, sends it the load of a case, stops it and returns the
// results. Violations are part of the results, not an error. It returns an error if the
// case does not fit the deployment, the deployment
// does not start, a fault could not be applied or the context ended.
func Run(ctx context.Context, d *fleet.Deployment, opts Options) (*Summary, error) {
	c := *opts.Case
	if opts.Rate > 0 {
		c.Rate, c.Load = opts.Rate, 0
	}
	if opts.Load > 0 {
		c.Rate, c.Load = 0, opts.Load
	}
	if opts.Seconds == 0 {
		opts.Seconds = c.Seconds
	}
	if opts.Seconds == 0 {
		opts.Seconds = defaultSeconds
	}
	length := time.Duration(opts.Seconds * float64(time.Second))
	doc := &d.Document
	steps, err := timeline(&c, doc, opts.Seed, length)
	if err != nil {
		return nil, errors.Wrapf(err, "case %s", c.Name)
	}
	f, cl, err := startCluster(ctx, d, opts.Policy, opts.Seed, opts.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "start the deployment")
	}
	defer f.Close()
	defer cl.close()
	r := &runner{opts: opts, fleet: f, cluster: cl, checker: newChecker(f.Datasets), recorder: newRecorder(doc, int(math.Ceil(opts.Seconds)))}
	r.checker.addConfig(doc)
	r.startCallers()
	defer r.closeCallers()
	hosts := len(cl.addresses())

	// The warm-up and the measured load have separate seeds, so that the duration
	// of the warm-up does not change the measured arrivals.
	load := arrivals(&c, doc, f.Model, f.Datasets, opts.Seed+1<<32, warmupDuration)
	for i := range load {
		load[i].at -= warmupDuration
	}
	load = append(load, arrivals(&c, doc, f.Model, f.Datasets, opts.Seed, length)...)
	usage, err := r.drive(ctx, load, steps, length)
	if err != nil {
		return nil, err
	}
	o := newOracle(doc, f.Model, steps, opts.Seed)
	for i := range load {
		if l := o.latencies(&load[i]); load[i].at >= 0 {
			r.recorder.addReferences(load[i].service, l)
		}
	}
	r.recorder.addTargetCounts(f)
	return &Summary{
		Case: c.Name, Policy: opts.Policy, Seed: opts.Seed, Seconds: opts.Seconds, Hosts: hosts, Usage: usage,
		LinkMS: 2 * (f.Model.CallerDelayMS + f.Model.OneWayDelayMS),
		Load:   c.Load, Events: eventMarks(steps),
		Rows: r.recorder.rows(opts.Seconds, !usage.Saturated),
	}, nil
}

func (r *runner) startCallers() {
	delay := time.Duration(r.fleet.Model.CallerDelayMS * float64(time.Millisecond))
	for i := range callerCount {
		rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(2000+i)))
		r.callers = append(r.callers, newCaller(delay, r.cluster.addresses, rng))
	}
}

func (r *runner) closeCallers() {
	for _, c := range r.callers {
		c.close()
	}
}

// drive sends the load while the injector applies the steps, and waits for the
// answers.
func (r *runner) drive(ctx context.Context, load []query, steps []step, length time.Duration) (Usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now().Add(warmupDuration)
	in := &injector{
		fleet: r.fleet, cluster: r.cluster, checker: r.checker, log: r.opts.Logger, begin: begin,
		stopKillers: map[*Event]context.CancelFunc{},
	}
	in.sendKillerQueries = func(ctx context.Context, e *Event) { r.sendKillerQueries(ctx, e, begin) }
	var faults sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	faults.Go(func() { in.run(faultCtx, steps) })
	if r.opts.Progress != nil {
		go r.progress(faultCtx, begin, length)
	}
	stop := startUsageMeter()
	for i := range load {
		q := &load[i]
		if !sleepUntil(ctx, begin.Add(q.at)) {
			return stop(), ctx.Err()
		}
		r.wg.Go(func() { r.send(ctx, q, i, begin) })
	}
	sleepUntil(ctx, begin.Add(length))
	usage := stop()
	stopFaults()
	faults.Wait()
	r.waitForAnswers()
	if err := ctx.Err(); err != nil {
		return usage, err
	}
	return usage, errors.Wrap(in.err(), "faults were not applied")
}

// waitForAnswers waits until every request has ended, at most drainTimeout, and then for
// settleDelay.
func (r *runner) waitForAnswers() {
	ended := make(chan struct{})
	go func() { r.wg.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(drainTimeout):
	}
	time.Sleep(settleDelay)
}

// send sends one query and records its result. The latency and the deadline count from
// the query's intended start.
func (r *runner) send(ctx context.Context, q *query, number int, begin time.Time) {
	start := begin.Add(q.at)
	policy := r.fleet.Tree().Effective("", q.service)
	limit := policy.DeadlineDefault
	ctx, cancel := context.WithDeadline(ctx, start.Add(limit+callerGrace))
	defer cancel()
	c := r.callers[number%len(r.callers)]
	res := &result{query: q, reply: c.send(ctx, q, fmt.Sprintf("%s-%d-%d", r.opts.Policy, r.opts.Seed, number))}
	res.latency = time.Since(start)
	switch {
	case res.reply.search != nil:
		res.coverage = res.reply.search.Coverage
		res.violations = r.checker.checkSearch(&q.search, res.reply.search)
	case res.reply.lookup != nil:
		res.coverage = 1
		res.violations = r.checker.checkLookup(&q.lookup, res.reply.lookup)
	}
	if res.violations.Total() > 0 {
		res.sample = fmt.Sprintf("%+v: terms %v, ID %q, answer %+v %+v", res.violations, q.search.Terms, q.lookup.ID, res.reply.search, res.reply.lookup)
	}
	answered := res.reply.outcome.Kind == outcome.Answered || res.reply.outcome.Kind == outcome.Partial
	callerDelay := time.Duration(2 * r.fleet.Model.CallerDelayMS * float64(time.Millisecond))
	res.good = answered && res.coverage >= policy.EarlyFinishCoverage && res.latency <= limit+callerDelay
	r.recorder.add(res)
}

// sendKillerQueries sends killer queries at the event's rate until the context ends,
// through the callers in turn. Queries in progress at that time are completed.
func (r *runner) sendKillerQueries(ctx context.Context, e *Event, begin time.Time) {
	service, err := resolveName("service", e.On.Service, r.fleet.Tree().Doc.Services)
	if err != nil {
		return
	}
	rng := rand.New(rand.NewPCG(r.opts.Seed, 3000))
	for number := 1 << 40; ; number++ {
		if !sleepUntil(ctx, time.Now().Add(arrivalInterval(rng, e.Rate))) {
			return
		}
		q := &query{at: time.Since(begin), service: service, kind: settings.KindSearch, killer: true}
		q.search.Terms = []string{e.Term}
		r.wg.Go(func() { r.send(context.WithoutCancel(ctx), q, number, begin) })
	}
}

func (r *runner) progress(ctx context.Context, begin time.Time, length time.Duration) {
	for next := begin; sleepUntil(ctx, next); next = next.Add(progressInterval) {
		r.recorder.mu.Lock()
		row := r.recorder.total.row
		r.recorder.mu.Unlock()
		fmt.Fprintf(r.opts.Progress, "%s/%s seed %d: %.0f of %.0f s, %d answers, %d refused, %d unknown, %d violations\n",
			r.opts.Case.Name, r.opts.Policy, r.opts.Seed, time.Since(begin).Seconds(), length.Seconds(),
			row.Answered+row.Partial, row.NotRun, row.Unknown, row.Violations.Total())
	}
}

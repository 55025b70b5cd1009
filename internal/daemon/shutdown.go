package daemon

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/callerbody"
	"github.com/lacewingyard/lacewingyard/pkg/drain"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// openRequests counts the requests of callers that are in progress.
type openRequests struct{ count atomic.Int64 }

// track returns a handler that counts the open requests of another, and reads no more of their
// bodies once ending is done: a request whose body is late would get no answer.
func (o *openRequests) track(ending context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.count.Add(1)
		defer o.count.Add(-1)
		defer context.AfterFunc(ending, func() {
			if !callerbody.Cut(r, os.ErrDeadlineExceeded) {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails if the caller has left
			}
		})()
		next.ServeHTTP(w, r)
	})
}

// AbortedError reports a shutdown that ended with requests still open.
type AbortedError struct{ Unfinished int64 }

func (e *AbortedError) Error() string {
	return errors.Newf("shutdown was aborted with %d requests open", e.Unfinished).Error()
}

// Abort stops the daemon at once, whether it serves or shuts down. Run then
// returns an *AbortedError if requests were open.
func (d *Daemon) Abort() { d.abortOnce.Do(func() { close(d.aborted) }) }

// Drain starts a graceful shutdown, as the end of Run's context does. Further
// calls have no effect.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// DrainResponse is the body of the response to POST /v1/drain.
type DrainResponse struct {
	Host string `json:"host"`
	// AcceptingMS is the time in milliseconds for which the host still accepts
	// requests, GraceMS the time that open requests may take after that.
	AcceptingMS int64 `json:"accepting_ms"`
	GraceMS     int64 `json:"grace_ms"`
}

// serveDrain starts a graceful shutdown at the request of an operator.
func (d *Daemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	policy := d.config.tree().Effective(d.opts.Process.Place, "")
	d.Drain()
	api.WriteJSON(w, http.StatusOK, DrainResponse{
		Host: d.opts.Process.Name, AcceptingMS: policy.EntriesTTL.Milliseconds(), GraceMS: policy.DrainGrace.Milliseconds(),
	})
}

// serve serves callers and operators until the context ends or a drain is
// requested, and then shuts down.
func (d *Daemon) serve(ctx context.Context) error {
	callers, err := d.opts.Listen(d.opts.Process.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	operators, err := d.opts.Listen(d.opts.Process.Listen.Operators)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "listen for operators")
	}
	d.callerServer = newServer(d.callerLimits.budget.Handler(callerbody.LimitSlowAnswers(d.openRequests.track(d.ending, d.callerRoutes()))))
	d.callerConns.Attach(d.callerServer)
	d.operatorServer = newServer(d.callerLimits.budget.Handler(callerbody.LimitSlowAnswers(d.operatorRoutes())))
	d.callerLimits.operators.Attach(d.operatorServer)
	refreshing, stopRefresh := context.WithCancel(context.Background())
	defer stopRefresh()
	go d.callerLimits.refresh(refreshing, d.callerConns)
	failed := make(chan error, 2)
	go func() { failed <- d.callerServer.Serve(d.callerConns.Listener(callers)) }()
	go func() { failed <- d.operatorServer.Serve(d.callerLimits.operators.Listener(operators)) }()
	d.log.Info("serving", "callers", callers.Addr(), "peers", d.opts.Process.Listen.Peers, "operators", operators.Addr())
	close(d.ready)

	select {
	case err = <-failed:
		err = errors.Wrap(err, "HTTP server")
	case <-ctx.Done():
		err = d.shutdown()
	case <-d.drainRequested:
		err = d.shutdown()
	case <-d.aborted:
		err = d.reportUnfinished()
	}
	return errors.CombineErrors(err, errors.CombineErrors(d.callerServer.Close(), d.operatorServer.Close()))
}

// shutdown removes this host from the entries responses, accepts requests until
// cached entries responses have expired, and finishes the open requests, or ends them shortly
// before the end of the grace period. It then
// hands over the request results and releases the targets. It returns an
// *AbortedError if requests are open after Abort or at the end of the grace period.
func (d *Daemon) shutdown() error {
	policy := d.config.tree().Effective(d.opts.Process.Place, "")
	d.entry.beginShutdown(policy)
	d.control.announceLeave()
	go d.entry.quotas.handOver(context.Background())
	d.log.Info("leaving", "accepting_for", policy.EntriesTTL, "open", d.openRequests.count.Load())
	whole := policy.EntriesTTL + policy.DrainGrace
	end := time.AfterFunc(whole-min(answerReserve, whole/4), d.endRequests)
	defer end.Stop()
	d.callerConns.EndWithAnswers(d.entry.endsConnections)
	phase, left := d.phase()
	for ; phase == drain.Leaving; phase, left = d.phase() {
		if !d.sleepUnlessAborted(left) {
			return d.reportUnfinished()
		}
	}
	d.log.Info("closing", "open", d.openRequests.count.Load())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		err := d.callerConns.Shutdown(ctx, d.callerServer)
		d.entry.home.waitIdle(ctx)
		d.entry.home.stopAccepting(ctx)
		d.entry.home.handOver(d.transport, d.directory, policy.TicketTTL)
		d.releaseTargets()
		closed <- err
	}()
	select {
	case err := <-closed:
		if err != nil {
			return d.reportUnfinished() // the grace period has ended
		}
		return nil
	case <-d.aborted:
		return d.reportUnfinished()
	}
}

// releaseTargets refuses new work on the targets, waits for the work of other hosts as long as
// drain.Shutdown.AwaitsTargets says and, if none is left, announces to the peers that this
// process has stopped.
func (d *Daemon) releaseTargets() {
	d.branch.stopAccepting()
	refusing := time.Now()
	work := d.branch.workLeft()
	for d.entry.awaitsTargets(refusing, work) && d.sleepUnlessAborted(shutdownPollInterval) {
		work = d.branch.workLeft()
	}
	if work == (drain.TargetWork{}) {
		d.control.announceStop()
	}
}

// awaitsTargets reports whether a shutdown waits for work of other hosts, of which none was
// taken since refusing.
func (e *entry) awaitsTargets(refusing time.Time, work drain.TargetWork) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shutdown.AwaitsTargets(time.Now(), refusing, work)
}

// inFlight returns the number of requests that the targets may be working on.
func (d *dispatcher) inFlight() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.owned {
		t.mu.Lock()
		n += t.inFlight
		t.mu.Unlock()
	}
	return n
}

// beginShutdown removes this host from the entries responses.
func (e *entry) beginShutdown(policy *settings.Policy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutdown.Begin(time.Now(), policy.EntriesTTL, policy.DrainGrace)
}

// endsConnections reports whether the shutdown ends the connection of a caller with an answer
// that begins now.
func (e *entry) endsConnections() bool {
	alone := len(e.Entries().Entries) == 0
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shutdown.EndsConnections(time.Now(), alone)
}

// phase returns the phase of the shutdown and the time until the phase must have
// ended. Commands that run here for other hosts count as open requests.
func (d *Daemon) phase() (drain.Phase, time.Duration) {
	now, open := time.Now(), int(d.openRequests.count.Load()+d.entry.home.inFlight.Load())
	d.entry.mu.Lock()
	defer d.entry.mu.Unlock()
	return d.entry.shutdown.Phase(now, open), d.entry.shutdown.Remaining(now, open)
}

// sleepUnlessAborted waits and returns true, or returns false at once if the
// shutdown is aborted.
func (d *Daemon) sleepUnlessAborted(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.aborted:
		return false
	}
}

// reportUnfinished logs the number of requests of callers that are still open and
// returns an *AbortedError with this number, or nil if none is open.
func (d *Daemon) reportUnfinished() error {
	open := d.openRequests.count.Load()
	if open == 0 {
		return nil
	}
	d.log.Error("shutdown ended with requests unanswered", "open", open)
	return &AbortedError{Unfinished: open}
}

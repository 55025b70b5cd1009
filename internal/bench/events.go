package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

const (
	// hostListDelay is how long the host list still contains a crashed host.
	hostListDelay = 2 * time.Second
	// defaultReplaceDelay is the time until a replacement starts if the event gives none.
	defaultReplaceDelay = time.Second
)

// injector applies the steps of a case's events to a deployment.
type injector struct {
	fleet             *fleet.Fleet
	cluster           cluster
	checker           *checker
	log               hclog.Logger
	begin             time.Time
	sendKillerQueries func(ctx context.Context, e *Event) // sends killer queries until ctx ends

	mu          sync.Mutex
	stopKillers map[*Event]context.CancelFunc // by killer event in progress
	applyErr    error
	wg          sync.WaitGroup
}

// run applies each step at its time, without waiting for earlier steps to complete. It
// returns after the context has ended and all steps have returned.
func (in *injector) run(ctx context.Context, steps []step) {
	for _, s := range steps {
		if !sleepUntil(ctx, in.begin.Add(s.at)) {
			break
		}
		in.wg.Go(func() {
			if err := in.apply(ctx, s); err != nil && ctx.Err() == nil {
				in.log.Error("cannot apply fault", "action", s.event.Do, "error", err)
				in.mu.Lock()
				in.applyErr = errors.CombineErrors(in.applyErr, errors.Wrapf(err, "%s at %s", s.event.Do, s.at))
				in.mu.Unlock()
			}
		})
	}
	<-ctx.Done()
	in.wg.Wait()
}

// err returns the combined errors of the steps that could not be applied, nil if there are
// none.
func (in *injector) err() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.applyErr
}

// sleepUntil waits until a time and returns true, or false if the context ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (in *injector) apply(ctx context.Context, s step) error {
	e := s.event
	switch e.Do {
	case DoRoll:
		return in.rollVersions(ctx, s.targets, time.Duration(e.Over))
	case DoSplit:
		return in.splitGroup(e)
	case DoPlaceOut, DoPlaceIn:
		return in.setPlace(e.On.Place, (e.Do == DoPlaceIn) != s.undo)
	case DoLinks:
		in.setLinks(e, s.undo)
	case DoCut:
		return in.setCut(e, !s.undo)
	case DoKiller:
		in.setKiller(ctx, s)
	case DoHostStop, DoHostReplace:
		return in.stopHost(ctx, e)
	case DoConfigDown, DoConfigUp:
		in.fleet.Platform.SetDown((e.Do == DoConfigDown) != s.undo)
	default:
		for _, id := range s.targets {
			if err := in.applyToTarget(in.fleet.Searchers[id], e, s.undo); err != nil {
				return errors.Wrapf(err, "target %s", id)
			}
		}
	}
	return nil
}

// applyToTarget applies a fault to one searcher or undoes it.
func (in *injector) applyToTarget(t *standin.Searcher, e *Event, undo bool) error {
	on := func(v float64) float64 {
		if undo {
			return 0
		}
		return v
	}
	switch e.Do {
	case DoStraggler:
		t.ChangeFaults(func(f *standin.Faults) { f.SlowRatio, f.SlowFactor = on(e.Ratio), e.Factor })
	case DoStuck:
		t.ChangeFaults(func(f *standin.Faults) { f.Stuck = !undo })
	case DoShed:
		t.ChangeFaults(func(f *standin.Faults) { f.ShedRatio = on(e.Ratio) })
	case DoWrong:
		t.ChangeFaults(func(f *standin.Faults) { f.CorruptRatio = on(e.Ratio) })
	case DoDrain:
		t.SetDraining(!undo)
	case DoCold:
		t.TurnCold(e.Announced)
	case DoSilent:
		t.SilenceConnections()
	case DoKill, DoRestart:
		t.Kill()
		if undo || e.Do == DoRestart {
			return t.Restart()
		}
	}
	return nil
}

// rollVersions rolls out the next index version of each service that has one of the
// targets. It returns an error if the context ended before the end of the roll.
func (in *injector) rollVersions(ctx context.Context, targets []string, over time.Duration) error {
	tree := in.fleet.Tree()
	services := map[string][]string{}
	for _, id := range targets {
		if info, ok := tree.Target(id); ok {
			services[info.Service] = append(services[info.Service], id)
		}
	}
	var wg sync.WaitGroup
	for _, ids := range services {
		wg.Go(func() { in.rollService(ctx, ids, over) })
	}
	wg.Wait()
	return ctx.Err()
}

// rollService updates the searchers of a service one by one, in two passes: in the
// first each starts to serve the new version besides the old one, in the second each
// drops the old one.
func (in *injector) rollService(ctx context.Context, targets []string, over time.Duration) {
	versions := in.fleet.Searchers[targets[0]].Versions()
	old := versions[len(versions)-1]
	pause := over / time.Duration(2*len(targets))
	for _, served := range [][]uint64{{old, old + 1}, {old + 1}} {
		for _, id := range targets {
			in.fleet.Searchers[id].SetVersions(served...)
			if !sleepUntil(ctx, time.Now().Add(pause)) {
				return
			}
		}
	}
}

// splitGroup splits a group in two: the first replica serves the upper half, the
// others the lower one. The searchers change before the configuration, because in
// production data also change before every host has the new configuration.
func (in *injector) splitGroup(e *Event) error {
	doc := &in.fleet.Tree().Doc
	name, err := resolveName("service", e.On.Service, doc.Services)
	if err != nil {
		return err
	}
	service := doc.Services[name]
	if *e.On.Group >= len(service.Groups) || len(service.Groups[*e.On.Group].Targets) < 2 {
		return errors.Newf("service %s has no group %d with two targets", name, *e.On.Group)
	}
	old := service.Groups[*e.On.Group]
	middle := old.Range.From + old.Range.Len()/2
	high := settings.Group{ID: old.ID + "b", Range: keyspace.Range{From: middle, To: old.Range.To}, Targets: old.Targets[:1]}
	low := settings.Group{ID: old.ID + "a", Range: keyspace.Range{From: old.Range.From, To: middle}, Targets: old.Targets[1:]}
	in.checker.markSplit(name)
	epoch := service.PartitionEpoch + 1
	for _, g := range []settings.Group{high, low} {
		for _, t := range g.Targets {
			in.fleet.Searchers[t.ID].SetRange(in.fleet.Datasets[name], g.Range, epoch)
		}
	}
	return in.publishConfig(func(doc *settings.Document) {
		changed := doc.Services[name]
		changed.PartitionEpoch = epoch
		changed.Groups = slices.Replace(changed.Groups, *e.On.Group, *e.On.Group+1, low, high)
		doc.Services[name] = changed
	})
}

// publishConfig changes the configuration and records its groups in the checker.
func (in *injector) publishConfig(change func(*settings.Document)) error {
	return in.fleet.PublishConfig(func(doc *settings.Document) {
		change(doc)
		in.checker.addConfig(doc)
	})
}

func (in *injector) setPlace(text string, inService bool) error {
	name, err := resolveName("place", text, in.fleet.Tree().Doc.Places)
	if err != nil {
		return err
	}
	return in.publishConfig(func(doc *settings.Document) {
		place := doc.Places[name]
		place.State = settings.PlaceOut
		if inService {
			place.State = settings.PlaceIn
		}
		doc.Places[name] = place
	})
}

func (in *injector) setLinks(e *Event, undo bool) {
	delay, loss := in.fleet.Model.OneWayDelayMS, in.fleet.Model.Loss
	if e.DelayMS != nil && !undo {
		delay = *e.DelayMS
	}
	if e.Loss != nil && !undo {
		loss = *e.Loss
	}
	in.fleet.Network.SetLinks(delay, loss)
}

func (in *injector) setCut(e *Event, cut bool) error {
	from, err := in.linkEndpoint(e.From)
	if err != nil {
		return err
	}
	to, err := in.linkEndpoint(e.To)
	if err != nil {
		return err
	}
	in.fleet.Network.SetBlocked(from, to, cut)
	if !e.OneWay {
		in.fleet.Network.SetBlocked(to, from, cut)
	}
	return nil
}

// linkEndpoint returns the name of the place that text denotes, or the address for other
// hosts of the host that it denotes.
func (in *injector) linkEndpoint(text string) (string, error) {
	doc := &in.fleet.Tree().Doc
	at, err := parseHostPosition(text, doc)
	if err != nil {
		return resolveName("place", text, doc.Places)
	}
	return in.cluster.peerAddress(at), nil
}

// setKiller makes the step's targets crash at the event's term and sends queries with the
// term until the context ends or the event is undone. A repetition of an event whose
// queries are still being sent only stops them.
func (in *injector) setKiller(ctx context.Context, s step) {
	term := s.event.Term
	if s.undo {
		term = ""
	}
	for _, id := range s.targets {
		in.fleet.Searchers[id].ChangeFaults(func(f *standin.Faults) { f.KillTerm = term })
	}
	in.mu.Lock()
	stop, running := in.stopKillers[s.event]
	if s.undo || running {
		delete(in.stopKillers, s.event)
		in.mu.Unlock()
		if running {
			stop()
		}
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	in.stopKillers[s.event] = cancel
	in.mu.Unlock()
	defer cancel()
	in.sendKillerQueries(ctx, s.event)
}

// stopHost stops a host and, for host_replace, starts its replacement. A crashed host stays
// in the host list for at most hostListDelay. A context that ends before the replacement starts is
// an error.
func (in *injector) stopHost(ctx context.Context, e *Event) error {
	at, err := parseHostPosition(e.Host, &in.fleet.Tree().Doc)
	if err != nil {
		return err
	}
	unlist, err := in.cluster.stop(at, e.Graceful)
	if err != nil {
		return err
	}
	lag := hostListDelay
	if e.Graceful {
		lag = 0
	}
	in.wg.Go(func() {
		sleepUntil(ctx, time.Now().Add(lag))
		if err := unlist(); err != nil {
			in.log.Error("cannot remove the host from the host list", "error", err)
		}
	})
	if e.Do == DoHostStop {
		return nil
	}
	wait := time.Duration(e.After)
	if wait == 0 {
		wait = defaultReplaceDelay
	}
	if !sleepUntil(ctx, time.Now().Add(wait)) {
		return ctx.Err()
	}
	return in.cluster.start(ctx, at)
}

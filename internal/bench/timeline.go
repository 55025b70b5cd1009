package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// step applies or undoes an event at a time.
type step struct {
	at      time.Duration // from the start of the measured time
	until   time.Duration // time of the undo; 0 if the event is not undone
	event   *Event
	targets []string
	undo    bool
}

// timeline expands the events of a case into steps, in order of time. Targets are
// selected here, at random from the seed and the event's index, so that the oracle and
// the run have the same faults.
func timeline(c *Case, doc *settings.Document, seed uint64, length time.Duration) ([]step, error) {
	var steps []step
	for i := range c.Events {
		e := &c.Events[i]
		rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		for at := time.Duration(e.At); at < length; at += time.Duration(e.Every) {
			s := step{at: at, event: e}
			var err error
			if slices.Contains(targetActions, e.Do) {
				if s.targets, err = e.On.selectTargets(doc, rng); err != nil {
					return nil, errors.Wrapf(err, "events[%d].on", i)
				}
			}
			if err := checkNames(e, doc); err != nil {
				return nil, errors.Wrapf(err, "events[%d]", i)
			}
			if e.For > 0 {
				s.until = at + time.Duration(e.For)
				undo := s
				undo.at, undo.undo = s.until, true
				steps = append(steps, undo)
			}
			steps = append(steps, s)
			if e.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	return steps, nil
}

// checkNames checks that the places and hosts outside the selector of targets exist.
func checkNames(e *Event, doc *settings.Document) error {
	switch e.Do {
	case DoPlaceOut, DoPlaceIn:
		_, err := resolveName("place", e.On.Place, doc.Places)
		return err
	case DoHostStop, DoHostReplace:
		_, err := parseHostPosition(e.Host, doc)
		return err
	case DoCut:
		for _, end := range []string{e.From, e.To} {
			if _, err := parseHostPosition(end, doc); err == nil {
				continue
			}
			if _, err := resolveName("place", end, doc.Places); err != nil {
				return err
			}
		}
	}
	return nil
}

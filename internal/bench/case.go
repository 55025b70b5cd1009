package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Duration is a time.Duration that is written as a string with a unit.
type Duration time.Duration

// UnmarshalJSON decodes a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration string with a unit, such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration with a unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Case is a load with a timeline of faults.
type Case struct {
	Name    string             `json:"name"`
	Doc     string             `json:"doc"`               // what the case shows
	Load    float64            `json:"load,omitempty"`    // fraction of every service's slot capacity
	Rate    float64            `json:"rate,omitempty"`    // queries/s over all services, instead of load
	Weights map[string]float64 `json:"weights,omitempty"` // by service name, "#N" or kind; 1 where absent
	Classes map[string]float64 `json:"classes,omitempty"` // weight of each priority class; empty for the service's own
	Seconds float64            `json:"seconds,omitempty"` // length if the command line gives none
	Events  []Event            `json:"events,omitempty"`
}

// Event applies a fault at a time, once or repeatedly.
type Event struct {
	At    Duration `json:"at"`
	Every Duration `json:"every,omitempty"` // repeat after this time
	For   Duration `json:"for,omitempty"`   // undo after this time; absent: keep to the end
	Do    Action   `json:"do"`
	On    Selector `json:"on,omitzero"`

	Ratio     float64  `json:"ratio,omitempty"`     // straggler, shed, wrong: fraction of requests
	Factor    float64  `json:"factor,omitempty"`    // straggler: how much longer
	Announced bool     `json:"announced,omitempty"` // cold: answers say so
	Over      Duration `json:"over,omitempty"`      // roll: time that the whole roll takes
	DelayMS   *float64 `json:"delay_ms,omitempty"`  // links: one way; absent: unchanged
	Loss      *float64 `json:"loss,omitempty"`      // links: fraction of datagrams; absent: unchanged
	From      string   `json:"from,omitempty"`      // cut: place or host
	To        string   `json:"to,omitempty"`        // cut: place or host
	OneWay    bool     `json:"one_way,omitempty"`   // cut: only what From sends
	Term      string   `json:"term,omitempty"`      // killer: the word that crashes a target
	Rate      float64  `json:"rate,omitempty"`      // killer: queries/s
	Host      string   `json:"host,omitempty"`      // host_*: place and ordinal, such as "#0/1"
	Graceful  bool     `json:"graceful,omitempty"`  // host_stop, host_replace: drain instead of crash
	After     Duration `json:"after,omitempty"`     // host_replace: time until the replacement starts
}

// Action is what an event does.
type Action string

// Actions.
const (
	DoStraggler   Action = "straggler"    // a fraction of requests takes longer
	DoStuck       Action = "stuck"        // no request ends
	DoKill        Action = "kill"         // the process ends
	DoRestart     Action = "restart"      // the process ends if it runs, and starts cold
	DoCold        Action = "cold"         // a warm searcher turns cold
	DoSilent      Action = "silent"       // open connections go silent
	DoShed        Action = "shed"         // a fraction of requests is refused
	DoDrain       Action = "drain"        // the searcher refuses new work and says so
	DoWrong       Action = "wrong"        // a fraction of answers is wrong; tests the checks
	DoRoll        Action = "roll"         // a new index version replaces the old one, replica by replica
	DoSplit       Action = "split"        // a shard group is divided in two
	DoPlaceOut    Action = "place_out"    // operators take a place out
	DoPlaceIn     Action = "place_in"     // operators bring a place back
	DoLinks       Action = "links"        // delay and loss between places
	DoCut         Action = "cut"          // two places or hosts cannot reach each other
	DoKiller      Action = "killer"       // a query that crashes targets is sent repeatedly
	DoHostStop    Action = "host_stop"    // a host ends
	DoHostReplace Action = "host_replace" // a host ends and another takes its ordinal
	DoConfigDown  Action = "config_down"  // configuration service and host list fail
	DoConfigUp    Action = "config_up"    // they work again
)

// reversibleActions actions may have a "for".
var reversibleActions = []Action{DoStraggler, DoStuck, DoKill, DoShed, DoDrain, DoWrong, DoPlaceOut, DoLinks, DoCut, DoKiller, DoConfigDown}

// targetActions are the actions that need a selector of targets.
var targetActions = []Action{
	DoStraggler, DoStuck, DoKill, DoRestart, DoCold, DoSilent, DoShed, DoDrain, DoWrong, DoRoll, DoSplit, DoKiller,
}

var allActions = append([]Action{
	DoPlaceOut, DoPlaceIn, DoLinks, DoCut, DoHostStop, DoHostReplace, DoConfigDown, DoConfigUp,
}, targetActions...)

// Selector chooses targets. A field that is absent chooses all. Services and
// places are given by name, or by "#N" for the Nth in order of name, so that
// one case fits every deployment.
type Selector struct {
	Service  string               `json:"service,omitempty"`
	Kind     settings.ServiceKind `json:"kind,omitempty"`
	Place    string               `json:"place,omitempty"`
	Group    *int                 `json:"group,omitempty"`    // position of the group in its service
	Replica  *int                 `json:"replica,omitempty"`  // position of the target in its group
	Fraction float64              `json:"fraction,omitempty"` // random part of what the other fields choose
	Count    int                  `json:"count,omitempty"`    // random number of what the other fields choose
}

// LoadCase reads a case file.
func LoadCase(file string) (*Case, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "case")
	}
	c, err := ParseCase(data)
	return c, errors.Wrapf(err, "case %s", file)
}

// LoadNamedCase reads a case by its name from a directory of case files.
func LoadNamedCase(dir, name string) (*Case, error) {
	file := filepath.Join(dir, name+".json")
	if _, err := os.Stat(file); err != nil || strings.ContainsAny(name, `/\`) {
		files, _ := filepath.Glob(filepath.Join(dir, "*.json"))
		names := make([]string, len(files))
		for i, f := range files {
			names[i] = strings.TrimSuffix(filepath.Base(f), ".json")
		}
		return nil, errors.Newf("no case %q in directory %s, which has: %s", name, dir, strings.Join(names, ", "))
	}
	return LoadCase(file)
}

// ParseCase decodes a case strictly and checks it.
func ParseCase(data []byte) (*Case, error) {
	c := new(Case)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the JSON document")
	}
	return c, c.check()
}

func (c *Case) check() error {
	switch {
	case c.Name == "":
		return errors.New("name: must not be empty")
	case c.Load < 0 || c.Rate < 0 || c.Seconds < 0:
		return errors.New("load, rate and seconds must not be negative")
	case (c.Load > 0) == (c.Rate > 0):
		return errors.New("exactly one of load and rate must be given")
	}
	for name, weight := range c.Weights {
		if weight < 0 {
			return errors.Newf("weights.%s: %v is negative", name, weight)
		}
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		if _, err := settings.ParsePriority(name); err != nil {
			return errors.Wrap(err, "classes")
		}
		if c.Classes[name] < 0 {
			return errors.Newf("classes.%s: %v is negative", name, c.Classes[name])
		}
		sum += c.Classes[name]
	}
	if len(c.Classes) > 0 && sum == 0 {
		return errors.New("classes: at least one weight must be above 0")
	}
	for i := range c.Events {
		if err := c.Events[i].check(); err != nil {
			return errors.Wrapf(err, "events[%d]", i)
		}
	}
	return nil
}

func (e *Event) check() error {
	if !slices.Contains(allActions, e.Do) {
		return errors.Newf("do: %q is not one of %v", e.Do, allActions)
	}
	if e.For > 0 && !slices.Contains(reversibleActions, e.Do) {
		return errors.Newf("for: %s cannot be undone", e.Do)
	}
	if e.Every > 0 && e.For >= e.Every {
		return errors.Newf("for: %v must be shorter than every, %v", time.Duration(e.For), time.Duration(e.Every))
	}
	if e.On.Fraction < 0 || e.On.Fraction > 1 {
		return errors.Newf("on.fraction: %v is outside 0 to 1", e.On.Fraction)
	}
	if e.On.Fraction > 0 && e.On.Count > 0 || e.On.Count < 0 {
		return errors.New("on: at most one of fraction and count may be given, and count not below 0")
	}
	if (e.On != Selector{}) && !slices.Contains(targetActions, e.Do) && e.Do != DoPlaceOut && e.Do != DoPlaceIn {
		return errors.Newf("on: %s takes no selector", e.Do)
	}
	return e.checkFields()
}

// checkFields checks the fields that an action needs.
func (e *Event) checkFields() error {
	ratio := e.Ratio > 0 && e.Ratio <= 1
	switch e.Do {
	case DoStraggler:
		if !ratio || e.Factor <= 1 {
			return errors.New("straggler needs a ratio above 0 and at most 1, and a factor above 1")
		}
	case DoShed, DoWrong:
		if !ratio {
			return errors.Newf("%s needs a ratio above 0 and at most 1", e.Do)
		}
	case DoRoll:
		if (e.On != Selector{Service: e.On.Service, Kind: e.On.Kind}) {
			return errors.New("roll takes only on.service and on.kind: it goes over all searchers of a service")
		}
	case DoSplit:
		if e.On.Service == "" || e.On.Group == nil {
			return errors.New("split needs on.service and on.group")
		}
	case DoPlaceOut, DoPlaceIn:
		if e.On.Place == "" || (e.On != Selector{Place: e.On.Place}) {
			return errors.Newf("%s needs on.place and nothing else in on", e.Do)
		}
	case DoLinks:
		if e.DelayMS == nil && e.Loss == nil {
			return errors.New("links needs delay_ms or loss")
		}
		if e.DelayMS != nil && *e.DelayMS < 0 || e.Loss != nil && (*e.Loss < 0 || *e.Loss > 1) {
			return errors.New("links: delay_ms must not be negative and loss must be 0 to 1")
		}
	case DoCut:
		if e.From == "" || e.To == "" {
			return errors.New("cut needs from and to")
		}
	case DoKiller:
		if e.Term == "" || e.Rate <= 0 || e.On.Service == "" {
			return errors.New("killer needs term, a rate above 0 and on.service")
		}
	case DoHostStop, DoHostReplace:
		if e.Host == "" {
			return errors.Newf("%s needs host", e.Do)
		}
	}
	return nil
}

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

// Duration is a time.Duration whose JSON form is a string with a unit.
type Duration time.Duration

// UnmarshalJSON decodes a string such as "250ms". Negative durations are errors.
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

// MarshalJSON encodes the duration as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Case is a load with a schedule of faults.
type Case struct {
	Name    string             `json:"name"`
	Doc     string             `json:"doc"`               // purpose of the case
	Load    float64            `json:"load,omitempty"`    // fraction of every service's slot capacity
	Rate    float64            `json:"rate,omitempty"`    // queries/s over all services; cannot be given together with load
	Weights map[string]float64 `json:"weights,omitempty"` // relative rate by service name, "#N" or kind; 1 if absent
	Classes map[string]float64 `json:"classes,omitempty"` // weight by priority class; empty: the service's class applies
	Seconds float64            `json:"seconds,omitempty"` // default length of a run
	Events  []Event            `json:"events,omitempty"`
}

// Event applies a fault once or repeatedly. At counts from the start of the measured
// time.
type Event struct {
	At    Duration `json:"at"`
	Every Duration `json:"every,omitempty"` // period of repetition; absent: once
	For   Duration `json:"for,omitempty"`   // undo after this time; absent: not undone
	Do    Action   `json:"do"`
	On    Selector `json:"on,omitzero"`

	Ratio     float64  `json:"ratio,omitempty"`     // straggler, shed, wrong: fraction of requests
	Factor    float64  `json:"factor,omitempty"`    // straggler: multiplier of the service time, above 1
	Announced bool     `json:"announced,omitempty"` // cold: the searcher reports that it is cold
	Over      Duration `json:"over,omitempty"`      // roll: duration of the whole roll
	DelayMS   *float64 `json:"delay_ms,omitempty"`  // links: one-way delay; absent: unchanged
	Loss      *float64 `json:"loss,omitempty"`      // links: fraction of datagrams lost, 0 to 1; absent: unchanged
	From      string   `json:"from,omitempty"`      // cut: place or host
	To        string   `json:"to,omitempty"`        // cut: place or host
	OneWay    bool     `json:"one_way,omitempty"`   // cut: block only the direction from From to To
	Term      string   `json:"term,omitempty"`      // killer: search term that crashes a target
	Rate      float64  `json:"rate,omitempty"`      // killer: queries/s
	Host      string   `json:"host,omitempty"`      // host_stop, host_replace: place and ordinal, such as "#0/1"
	Graceful  bool     `json:"graceful,omitempty"`  // host_stop, host_replace: shut down gracefully instead of crashing
	After     Duration `json:"after,omitempty"`     // host_replace: time until the replacement starts; absent: 1 s
}

// Action is the kind of an event.
type Action string

// Actions.
const (
	DoStraggler   Action = "straggler"    // a fraction of requests has a multiplied service time
	DoStuck       Action = "stuck"        // requests never complete
	DoKill        Action = "kill"         // the searcher's process is killed
	DoRestart     Action = "restart"      // the searcher's process is killed if it runs, and started cold
	DoCold        Action = "cold"         // a warm searcher becomes cold
	DoSilent      Action = "silent"       // open connections stop carrying data without being closed
	DoShed        Action = "shed"         // a fraction of requests is refused
	DoDrain       Action = "drain"        // the searcher refuses new requests and reports that it drains
	DoWrong       Action = "wrong"        // a fraction of answers is corrupted; verifies that the checks detect it
	DoRoll        Action = "roll"         // a new index version replaces the old one replica by replica
	DoSplit       Action = "split"        // a group is split in two
	DoPlaceOut    Action = "place_out"    // operators take a place out of service
	DoPlaceIn     Action = "place_in"     // operators return a place to service
	DoLinks       Action = "links"        // delay and loss between places change
	DoCut         Action = "cut"          // two places or hosts cannot reach each other
	DoKiller      Action = "killer"       // queries that crash targets are sent
	DoHostStop    Action = "host_stop"    // a host stops
	DoHostReplace Action = "host_replace" // a host stops and another takes its ordinal
	DoConfigDown  Action = "config_down"  // the configuration service and the host list fail
	DoConfigUp    Action = "config_up"    // the configuration service and the host list recover
)

// reversibleActions are the actions that an event with "for" can undo.
var reversibleActions = []Action{DoStraggler, DoStuck, DoKill, DoShed, DoDrain, DoWrong, DoPlaceOut, DoLinks, DoCut, DoKiller, DoConfigDown}

// targetActions are the actions on targets, which their selector chooses. An empty
// selector selects all targets; checkFields states which actions require one.
var targetActions = []Action{
	DoStraggler, DoStuck, DoKill, DoRestart, DoCold, DoSilent, DoShed, DoDrain, DoWrong, DoRoll, DoSplit, DoKiller,
}

var allActions = append([]Action{
	DoPlaceOut, DoPlaceIn, DoLinks, DoCut, DoHostStop, DoHostReplace, DoConfigDown, DoConfigUp,
}, targetActions...)

// Selector selects targets. An absent field selects all. Services and places are
// given by name, or by "#N", where N counts from 0 in order of name, so that one case
// applies to every deployment.
type Selector struct {
	Service  string               `json:"service,omitempty"`
	Kind     settings.ServiceKind `json:"kind,omitempty"`
	Place    string               `json:"place,omitempty"`
	Group    *int                 `json:"group,omitempty"`    // index of the group in its service
	Replica  *int                 `json:"replica,omitempty"`  // index of the target in its group
	Fraction float64              `json:"fraction,omitempty"` // random part, 0 to 1, of what the other fields select; at least one
	Count    int                  `json:"count,omitempty"`    // size of a random sample of what the other fields select
}

// LoadCase reads and checks a case file.
func LoadCase(file string) (*Case, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "case")
	}
	c, err := ParseCase(data)
	return c, errors.Wrapf(err, "case %s", file)
}

// LoadNamedCase reads the case NAME.json of a directory. The error for an unknown name
// lists the names that exist.
func LoadNamedCase(dir, name string) (*Case, error) {
	file := filepath.Join(dir, name+".json")
	if _, err := os.Stat(file); err != nil || strings.ContainsAny(name, `/\`) {
		files, _ := filepath.Glob(filepath.Join(dir, "*.json"))
		names := make([]string, len(files))
		for i, f := range files {
			names[i] = strings.TrimSuffix(filepath.Base(f), ".json")
		}
		return nil, errors.Newf("no case %q in directory %s; available cases: %s", name, dir, strings.Join(names, ", "))
	}
	return LoadCase(file)
}

// ParseCase decodes and checks a case. Unknown fields, data after the document and
// values out of range are errors.
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

// checkFields checks the fields that the action requires.
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
			return errors.New("roll takes only on.service and on.kind: a roll covers all searchers of a service")
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

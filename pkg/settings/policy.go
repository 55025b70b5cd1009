package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Priority is the priority class of a request; lower values are served first.
type Priority uint8

// Priority classes.
const (
	Critical Priority = iota
	Interactive
	Batch
	PriorityCount = 3
)

var priorityNames = [...]string{"critical", "interactive", "batch"}

// String returns the name of the class, as settings and headers have it.
func (p Priority) String() string { return priorityNames[min(int(p), len(priorityNames)-1)] }

// ParsePriority returns the class with a name, as settings and headers have it.
// The error of an unknown name lists the classes.
func ParsePriority(name string) (Priority, error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return 0, fmt.Errorf("priority %q is not one of critical, interactive, batch", name)
}

// CanaryMode says when a query is sent to a single target as a canary first.
type CanaryMode string

// Canary modes.
const (
	CanaryAuto   CanaryMode = "auto" // after a target died under the query, or recently under another while this one is not cleared
	CanaryAlways CanaryMode = "always"
	CanaryNever  CanaryMode = "never"
)

// Policy holds the effective settings of one service in one place. Fields
// returns the meaning, unit and range of each; ratios are fractions from 0 to 1.
type Policy struct {
	DeadlineDefault     time.Duration
	DeadlineMax         time.Duration
	EarlyFinishAfter    time.Duration
	EarlyFinishCoverage float64
	HedgeQuantile       float64
	HedgeMinDelay       time.Duration
	ExtraLoadRatio      float64
	RetryLimit          int
	QueueLimit          int
	Priority            Priority
	ColdConcurrency     int
	ColdRampStep        int
	Canary              CanaryMode
	QuarantineFor       time.Duration
	TicketTTL           time.Duration
	EntriesTTL          time.Duration
	DrainGrace          time.Duration
	SlotLimitRatio      float64
	MaxBodyBytes        int
	CallerRateLimit     int
}

// Field describes one policy setting.
type Field struct {
	Name    string
	Unit    string // "duration", "ratio", "count", "bytes" or "name"
	Range   string // accepted values, as text for the reference page
	Default string
	Doc     string
	// HostWide marks a setting that applies to a host as a whole, whatever the
	// service, and that therefore cannot be set for a service.
	HostWide bool

	parse func(raw json.RawMessage) (any, error)
	set   func(p *Policy, value any)
}

// Fields returns every policy setting in the order of the reference page. The
// slice must not be modified.
func Fields() []Field { return fields }

var fields = []Field{
	durationField("deadline_default", "250ms", time.Millisecond, time.Minute,
		"Deadline of a request that states none.", func(p *Policy) *time.Duration { return &p.DeadlineDefault }),
	durationField("deadline_max", "5s", time.Millisecond, time.Minute,
		"Longest deadline a caller may ask for; a longer one is cut to it.", func(p *Policy) *time.Duration { return &p.DeadlineMax }),
	durationField("early_finish_after", "0s", 0, time.Minute,
		"Time after which a search may end with early_finish_coverage; 0s waits for the deadline.", func(p *Policy) *time.Duration { return &p.EarlyFinishAfter }),
	ratioField("early_finish_coverage", 1, 0, 1,
		"Coverage with which a search may end early.", func(p *Policy) *float64 { return &p.EarlyFinishCoverage }),
	ratioField("hedge_quantile", 0.95, 0.5, 0.9999,
		"Quantile of a group's latency after which a sub-request is hedged.", func(p *Policy) *float64 { return &p.HedgeQuantile }),
	durationField("hedge_min_delay", "2ms", 0, time.Second,
		"Shortest wait before a hedge.", func(p *Policy) *time.Duration { return &p.HedgeMinDelay }),
	ratioField("extra_load_ratio", 0.05, 0, 1,
		"Hedges and retries allowed per sub-request.", func(p *Policy) *float64 { return &p.ExtraLoadRatio }),
	countField("retry_limit", 2, 0, 10,
		"Retries of one sub-request that was refused before it ran.", func(p *Policy) *int { return &p.RetryLimit }),
	countField("queue_limit", 64, 0, 100000,
		"Sub-requests that may wait for one target on one owner.", func(p *Policy) *int { return &p.QueueLimit }),
	nameField("priority", "interactive", "critical, interactive, batch",
		"Class of a request that states none.", func(p *Policy, v string) error {
			class, err := ParsePriority(v)
			p.Priority = class
			return err
		}),
	countField("cold_concurrency", 1, 0, 1000,
		"Sub-requests that a cold target bears at a time.", func(p *Policy) *int { return &p.ColdConcurrency }),
	countField("cold_ramp_step", 8, 1, 100000,
		"Good answers in a row after which a cold target's allowance grows by one.", func(p *Policy) *int { return &p.ColdRampStep }),
	nameField("canary", "auto", "auto, always, never",
		"When a query first runs on a single target.", func(p *Policy, v string) error {
			mode := CanaryMode(v)
			if mode != CanaryAuto && mode != CanaryAlways && mode != CanaryNever {
				return fmt.Errorf("canary mode %q is not one of auto, always, never", v)
			}
			p.Canary = mode
			return nil
		}),
	durationField("quarantine_for", "60s", time.Second, time.Hour,
		"How long a query that crashed two targets is refused.", func(p *Policy) *time.Duration { return &p.QuarantineFor }),
	hostWide(durationField("ticket_ttl", "60s", time.Second, time.Hour,
		"How long a ticket for a non-repeatable request is valid.", func(p *Policy) *time.Duration { return &p.TicketTTL })),
	hostWide(durationField("entries_ttl", "5s", 100*time.Millisecond, time.Hour,
		"How long a caller may keep an entries answer.", func(p *Policy) *time.Duration { return &p.EntriesTTL })),
	hostWide(durationField("drain_grace", "30s", 0, time.Hour,
		"Longest time a graceful shutdown waits for open requests.", func(p *Policy) *time.Duration { return &p.DrainGrace })),
	ratioField("slot_limit_ratio", 1, 0.1, 1,
		"Fraction of a target's slots that the tier uses.", func(p *Policy) *float64 { return &p.SlotLimitRatio }),
	bytesField("max_body_bytes", 64<<10, 1, 16<<20,
		"Largest request body that is accepted.", func(p *Policy) *int { return &p.MaxBodyBytes }),
	hostWide(countField("caller_rate_limit", 0, 0, 1000000,
		"Requests a second that one host accepts from one caller address; 0 accepts all.", func(p *Policy) *int { return &p.CallerRateLimit })),
}

var fieldByName = func() map[string]*Field {
	m := make(map[string]*Field, len(fields))
	for i := range fields {
		m[fields[i].Name] = &fields[i]
	}
	return m
}()

// DefaultPolicy returns the policy with the built-in value of every field.
func DefaultPolicy() Policy {
	var p Policy
	for _, f := range fields {
		value, err := f.parse(json.RawMessage(f.Default))
		if err != nil {
			panic(fmt.Sprintf("default of %s: %v", f.Name, err)) // broken invariant: the table above has an invalid default
		}
		f.set(&p, value)
	}
	return p
}

// hostWide returns the field marked as one that cannot be set for a service.
func hostWide(f Field) Field {
	f.HostWide = true
	return f
}

func durationField(name, def string, low, high time.Duration, doc string, member func(*Policy) *time.Duration) Field {
	return Field{
		Name: name, Unit: "duration", Doc: doc, Default: `"` + def + `"`,
		Range: fmt.Sprintf("%s to %s", low, high),
		parse: func(raw json.RawMessage) (any, error) {
			var text string
			if err := json.Unmarshal(raw, &text); err != nil {
				return nil, fmt.Errorf("%s is not a duration string with a unit, such as \"25ms\"", raw)
			}
			d, err := time.ParseDuration(text)
			if err != nil {
				return nil, fmt.Errorf("%q is not a duration with a unit, such as \"25ms\"", text)
			}
			if d < low || d > high {
				return nil, fmt.Errorf("%s is outside %s to %s", d, low, high)
			}
			return d, nil
		},
		set: func(p *Policy, v any) { *member(p) = v.(time.Duration) },
	}
}

func ratioField(name string, def, low, high float64, doc string, member func(*Policy) *float64) Field {
	return Field{
		Name: name, Unit: "ratio", Doc: doc, Default: fmt.Sprint(def),
		Range: fmt.Sprintf("%v to %v", low, high),
		parse: func(raw json.RawMessage) (any, error) {
			var f float64
			if err := json.Unmarshal(raw, &f); err != nil {
				return nil, fmt.Errorf("%s is not a number", raw)
			}
			if f < low || f > high {
				return nil, fmt.Errorf("%v is outside %v to %v", f, low, high)
			}
			return f, nil
		},
		set: func(p *Policy, v any) { *member(p) = v.(float64) },
	}
}

func countField(name string, def, low, high int, doc string, member func(*Policy) *int) Field {
	return Field{
		Name: name, Unit: "count", Doc: doc, Default: fmt.Sprint(def),
		Range: fmt.Sprintf("%d to %d", low, high),
		parse: func(raw json.RawMessage) (any, error) {
			var n int
			if err := json.Unmarshal(raw, &n); err != nil {
				return nil, fmt.Errorf("%s is not a whole number", raw)
			}
			if n < low || n > high {
				return nil, fmt.Errorf("%d is outside %d to %d", n, low, high)
			}
			return n, nil
		},
		set: func(p *Policy, v any) { *member(p) = v.(int) },
	}
}

func bytesField(name string, def, low, high int, doc string, member func(*Policy) *int) Field {
	f := countField(name, def, low, high, doc, member)
	f.Unit = "bytes"
	return f
}

func nameField(name, def, accepted, doc string, apply func(*Policy, string) error) Field {
	return Field{
		Name: name, Unit: "name", Doc: doc, Default: `"` + def + `"`, Range: accepted,
		parse: func(raw json.RawMessage) (any, error) {
			var text string
			if err := json.Unmarshal(raw, &text); err != nil {
				return nil, fmt.Errorf("%s is not a string", raw)
			}
			return text, apply(new(Policy), text)
		},
		set: func(p *Policy, v any) {
			if err := apply(p, v.(string)); err != nil {
				panic(err) // broken invariant: parse accepted the value
			}
		},
	}
}

package atmostonce_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lacewingyard/lacewingyard/pkg/atmostonce"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

var limits = atmostonce.Limits{MaxRecords: 4, MaxTTL: time.Hour, MaxDeadline: time.Minute}

var start = time.UnixMilli(1_700_000_000_000)

func newHome() *atmostonce.Registry[string] { return atmostonce.NewRegistry[string]("h", 7, limits) }

func request(home *atmostonce.Registry[string], suffix string) atmostonce.ID {
	return atmostonce.ID{Ticket: home.Issue(start, time.Minute), Suffix: suffix}
}

var _ = Describe("AtMostOnce: Registry", func() {
	// Guards against one identifier that serves two different requests.
	It("refuses a known identifier with another body as not run", func() {
		home := newHome()
		id := request(home, "a")
		Expect(home.Begin(start, id, 1, 0).Action).To(Equal(atmostonce.Run))
		d := home.Begin(start, id, 2, 0)
		Expect(d.Action).To(Equal(atmostonce.Refuse))
		Expect(d.Outcome.Kind).To(Equal(outcome.NotRun))
		Expect(d.Outcome.Reason).To(Equal(outcome.Invalid))
		Expect(home.Begin(start, id, 1, 0).Action).To(Equal(atmostonce.Join))
	})

	// Guards against a stopping home that refuses what it could answer, and against one that
	// counts a refused send as a run.
	It("tells whether a run is recorded", func() {
		home := newHome()
		id, refused := request(home, "a"), request(home, "b")
		Expect(home.Recorded(start, id)).To(BeFalse())
		home.Begin(start, id, 1, 0)
		Expect(home.Recorded(start, id)).To(BeTrue())
		home.Finish(start, id, outcome.OK(), "answer")
		Expect(home.Recorded(start, id)).To(BeTrue())
		Expect(home.Recorded(start.Add(time.Minute+limits.MaxDeadline), id)).To(BeFalse())
		home.RecordRefusal(start, refused, outcome.Refused(outcome.Draining, "stopping"))
		Expect(home.Recorded(start, refused)).To(BeFalse())
	})

	// Guards against a replacement of the home that runs a request, or answers "not
	// run" for one, that its predecessor may have run.
	It("answers unknown for a ticket of another incarnation or host", func() {
		home := newHome()
		id := request(home, "a")
		next := atmostonce.NewRegistry[string]("h", 8, limits)
		Expect(next.Begin(start, id, 1, 0).Outcome.Kind).To(Equal(outcome.Unknown))
		other := atmostonce.NewRegistry[string]("g", 7, limits)
		Expect(other.Begin(start, id, 1, 0).Outcome.Kind).To(Equal(outcome.Unknown))
	})

	// Guards against unbounded memory and against evicting a record that is still
	// needed.
	It("refuses new requests when full and keeps the existing records", func() {
		home := newHome()
		for i := range limits.MaxRecords {
			Expect(home.Begin(start, request(home, fmt.Sprint(i)), 1, 0).Action).To(Equal(atmostonce.Run))
		}
		d := home.Begin(start, request(home, "more"), 1, 0)
		Expect(d.Outcome.Kind).To(Equal(outcome.NotRun))
		Expect(d.Outcome.Reason).To(Equal(outcome.Overload))
		Expect(home.Begin(start, request(home, "0"), 1, 0).Action).To(Equal(atmostonce.Join))
	})

	// Guards against "not run" for a request that ran and whose record has expired.
	It("answers not run for an expired ticket only while its record would still be kept", func() {
		home := newHome()
		id := request(home, "a")
		Expect(home.Begin(start.Add(time.Minute), id, 1, 0).Outcome.Kind).To(Equal(outcome.NotRun))
		Expect(home.Begin(start.Add(2*time.Minute), id, 1, 0).Outcome.Kind).To(Equal(outcome.Unknown))
	})

	// Guards against a request that stays unknown although the host that ran it kept
	// the answer, and against an answer that replaces any outcome but "unknown".
	It("accepts an answer of another host for an unknown request only", func() {
		home := newHome()
		for suffix, kind := range map[string]outcome.Kind{"a": outcome.Answered, "u": outcome.Unknown, "n": outcome.NotRun} {
			id := request(home, suffix)
			home.Begin(start, id, 1, 0)
			Expect(home.ResolveUnknown(id, 1, outcome.OK(), "other")).To(BeFalse(), "the request is still running")
			home.Finish(start, id, outcome.Outcome{Kind: kind}, "own")
			Expect(home.ResolveUnknown(id, 2, outcome.OK(), "other")).To(BeFalse(), "another body")
			Expect(home.ResolveUnknown(id, 1, outcome.OK(), "other")).To(Equal(kind == outcome.Unknown))
		}
		d := home.Begin(start, request(home, "u"), 1, 0)
		Expect(d.Outcome).To(Equal(outcome.OK()))
		Expect(d.Answer).To(Equal("other"))
	})

	// Guards against a forged ticket whose record would never expire.
	It("refuses a ticket that expires later than any it issues", func() {
		home := newHome()
		id := request(home, "a")
		id.Ticket.Expiry = start.Add(2 * time.Hour)
		Expect(home.Begin(start, id, 1, 0).Outcome.Reason).To(Equal(outcome.Invalid))
	})
})

// Guards against a second run, "not run" for a request that ran, a run by an
// unconfirmed send from before a refusal, and the loss of an answer that another
// host gave, over any order of resends, results and clock steps.
func TestAtMostOnceRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := drawRuns(t, false); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestNotRunIsTrueFailsNaively checks that drawRuns finds a run by a late send when
// the sender of every send confirms, which has the effect of a home without refusal
// markers.
func TestNotRunIsTrueFailsNaively(t *testing.T) {
	failed := false
	rapid.Check(t, func(t *rapid.T) { failed = drawRuns(t, true) == lateRun || failed })
	if !failed {
		t.Fatal("no run by a late send was found")
	}
}

const lateRun = "a late send ran although a resend was refused as not run"

// drawRuns draws one sequence of requests at a home and returns the first
// violation, or "". With confirmLate, the senders of late sends confirm as well.
func drawRuns(t *rapid.T, confirmLate bool) string {
	home, now := newHome(), start
	latest := start
	running, ran, resolved, refusedAt := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]time.Time{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(-60, 60).Draw(t, "seconds")) * time.Second)
		if now.After(latest) {
			latest = now
		}
		id := request(home, rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "suffix"))
		id.Ticket.Expiry = start.Add(time.Minute)
		key := id.String()
		if running[key] && rapid.Bool().Draw(t, "finish") {
			kind := rapid.SampledFrom([]outcome.Kind{outcome.Answered, outcome.Unknown, outcome.NotRun}).Draw(t, "kind")
			running[key], ran[key] = false, kind != outcome.NotRun
			if kind == outcome.NotRun {
				refusedAt[key] = latest
			}
			home.Finish(now, id, outcome.Outcome{Kind: kind}, "")
			if rapid.Bool().Draw(t, "answered elsewhere") {
				resolved[key] = home.ResolveUnknown(id, 1, outcome.OK(), "")
			}
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "refuse") == 0 {
			if home.RecordRefusal(now, id, outcome.Refused(outcome.Overload, "rate")).DidNotRun() {
				if running[key] || ran[key] {
					return key + " is refused as not run although it ran"
				}
				refusedAt[key] = latest
			}
			continue
		}
		at, refused := refusedAt[key]
		late := refused && latest.Before(at.Add(limits.MaxDeadline)) && rapid.Bool().Draw(t, "late")
		d := home.Begin(now, id, 1, 0)
		if d.Action == atmostonce.Confirm && (confirmLate || !late) {
			d = home.Begin(now, id, 1, d.Refusals)
		}
		switch {
		case d.Action == atmostonce.Confirm && late:
		case d.Action == atmostonce.Run && (running[key] || ran[key]):
			return key + " ran twice"
		case d.Action == atmostonce.Run && late:
			return lateRun
		case d.Action == atmostonce.Run:
			running[key] = true
			delete(refusedAt, key) // the sender waits for this run
		case resolved[key] && d.Action == atmostonce.Replay && d.Outcome.Kind != outcome.Answered:
			return key + " lost the answer given by another host"
		case d.Outcome.DidNotRun() && (running[key] || ran[key]):
			return key + " is refused as not run although it ran"
		case d.Outcome.DidNotRun() && latest.Before(id.Ticket.Expiry):
			refusedAt[key] = latest // the table is full
		case (d.Action == atmostonce.Join) != running[key]:
			return fmt.Sprintf("%s: %v while running is %v", key, d, running[key])
		}
	}
	return ""
}

// Guards against two text forms of one identifier, which would count as two
// requests.
func FuzzParseID(f *testing.F) {
	f.Add(atmostonce.ID{Ticket: atmostonce.Ticket{Host: "riga-a-0", Incarnation: 7, Expiry: start}, Suffix: "x"}.String())
	f.Add("1.AAAAAAAAAAcAAAGLz-VoAGE\n.x")
	f.Add("1..x")
	f.Add("2.AA.x")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := atmostonce.ParseID(text)
		if err != nil {
			return
		}
		if id.String() != text {
			t.Fatalf("%q is parsed as %q", text, id.String())
		}
		if len(text) > 256 {
			t.Fatalf("identifier of %d bytes exceeds the limit of the header", len(text))
		}
	})
}

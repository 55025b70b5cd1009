package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

var _ = Describe("The status page", func() {
	// Guards against a page without the hosts and targets that operators look for, and
	// against a page in reply to clients that expect JSON.
	It("shows hosts and targets to a browser and JSON to others", func(ctx context.Context) {
		f := startFleet(ctx, newEngland, "tagdesk", nil)
		drive(ctx, f, "tagdesk", 20, 5*time.Millisecond)
		get := func(accept string) *httptest.ResponseRecorder {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/status", nil)
			r.Header.Set("Accept", accept)
			f.Hosts[0].Daemon.OperatorHandler().ServeHTTP(w, r)
			return w
		}
		page := get("text/html").Body.String()
		Expect(page).To(And(ContainSubstring(f.Hosts[1].Entry.Name), ContainSubstring("<td>tagdesk-g"), ContainSubstring("boston-hall"), Not(ContainSubstring("<script"))))
		Expect(get("*/*").Header().Get("Content-Type")).To(HavePrefix("application/json"))
	}, NodeTimeout(time.Minute))

	// Guards against a status that omits targets which the host has not used yet or
	// the reports of other hosts, or that shows a place out of service as taking work.
	It("shows unused targets, reports of other hosts, suspect targets and a place out of service", func(ctx context.Context) {
		f := startFleet(ctx, newEngland, "tagdesk", settings.Overrides{"deadline_default": rawJSON(`"2s"`)})
		status := func(i int) daemon.Status { return f.Hosts[i].Daemon.Status() }
		self, version := status(0).Place, f.Tree().Doc.Version
		Expect(status(0).Targets).NotTo(BeEmpty())
		Expect(status(0).Targets).To(HaveEach(And(HaveField("State", "not used yet"), HaveField("Service", "tagdesk"), HaveField("Slots", BeNumerically(">", 0)))))

		load := drive(ctx, f, "tagdesk", 40, 5*time.Millisecond)
		answered := load.answeredBy[0] // fewer than five if the process was paused: a host then refuses until it is confirmed
		Expect(answered).To(BeNumerically(">", 0))
		Expect(status(0).Targets).To(ContainElement(HaveField("State", "warm")))
		Expect(status(0).Services).To(ConsistOf(And(HaveField("Searches", answered), HaveField("Failed", 5-answered), HaveField("CoverageMean", BeNumerically(">", 0)), HaveField("Unusable", BeEmpty()))))
		Eventually(func() []daemon.HostStatus { return status(0).Hosts }, "5s").Should(And(HaveLen(8), HaveEach(And(
			HaveField("Phase", "serving"), HaveField("Heard", true), HaveField("Silent", false),
			HaveField("AgeSeconds", HaveValue(BeNumerically("<", 3))), HaveField("ConfigVersion", version)))))

		for _, s := range f.Searchers {
			s.SetFaults(standin.Faults{KillTerm: killTerm})
		}
		_, _ = search(ctx, f, 0, "tagdesk", api.SearchRequest{Terms: []string{killTerm}})
		for id, s := range f.Searchers {
			if s.Counts().KillerQueryCrashes.Load() > 0 && s.Place == self {
				Expect(status(0).Quarantined).To(ContainElement(HaveField("Targets", ContainElement(id))))
			}
		}
		suspects := 0
		for i := range f.Hosts {
			for _, t := range status(i).Targets {
				if t.Suspect {
					suspects++
					Expect(f.Searchers[t.Target].Counts().KillerQueryCrashes.Load()).To(BeNumerically(">", 0))
				}
			}
		}
		Expect(suspects).To(BeNumerically(">", 0))

		f.Hosts[1].Daemon.Drain()
		Eventually(func() []daemon.HostStatus { return status(0).Hosts }, "3s").Should(ContainElement(And(
			HaveField("Name", f.Hosts[1].Entry.Name), HaveField("Phase", "leaving"))))
		Expect(f.PublishConfig(func(d *settings.Document) {
			p := d.Places[self]
			p.State = settings.PlaceOut
			d.Places[self] = p
		})).To(Succeed())
		Eventually(func() []daemon.PlaceStatus { return status(0).Places }, "3s").Should(ContainElement(And(
			HaveField("Name", self), HaveField("State", "out"), HaveField("Live", 0), HaveField("InUse", 0))))
		Expect(status(0).Targets).To(HaveEach(And(HaveField("State", "out"), HaveField("Slots", 0))))
	}, NodeTimeout(time.Minute))
})

package daemon

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

var _ = Describe("A host that is only partly confirmed", func() {
	// Guards against a command that runs on a host which may have been replaced or
	// reconfigured while the host was paused.
	It("refuses commands as not run and serves requests that may be repeated", func() {
		r := newTargetFixture(false, standin.ServiceModel{MedianMS: 1})
		Eventually(r.answers(0), eventuallyTimeout).Should(BeTrue())
		fullyConfirmed := false
		b := &branch{self: r.owners[0].self, config: r.owners[0].config, dispatcher: r.owners[0]}
		b.config.ready, b.config.confirmed = func() bool { return true }, func() bool { return fullyConfirmed }
		before := r.searcher.Counts().Lookups.Load()
		list := newDirectory(hclog.NewNullLogger())
		Expect(list.offerDocument([]byte(`{"version":1,"hosts":[]}`))).To(BeTrue())
		e := newEntry(b.self, b.config, list, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		refused := e.runCommand(ctx, &wire.CommandRequest{Service: "tags", ID: "tag-000001"}).Outcome
		Expect(refused.DidNotRun()).To(BeTrue())
		Expect(refused.Message).To(ContainSubstring("fully confirmed"), "the home refuses before it looks for a target")
		Expect(lookUp(b, true).DidNotRun()).To(BeTrue())
		Expect(r.searcher.Counts().Lookups.Load()).To(Equal(before))
		Expect(lookUp(b, false).Kind).To(Equal(outcome.Answered))
		fullyConfirmed = true
		Expect(lookUp(b, true).Kind).To(Equal(outcome.Answered))
	})
})

func lookUp(b *branch, once bool) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return b.lookup(ctx, &wire.LookupRequest{RequestID: "r", Service: "tags", Target: "t0", ID: "tag-000001", TimeoutMS: 5000, Once: once}).Outcome
}

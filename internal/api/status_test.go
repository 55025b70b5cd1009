package api

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	. "github.com/onsi/gomega"
)

// Guards against a status that means "not run" for a request that may have run, whatever the
// reason, and against a refused caller that is not told when to come back.
func TestStatusMeansNotRunOnlyForThatOutcome(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, reason := range append(outcome.Reasons(), outcome.None) {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 3 * time.Second} {
			g := NewWithT(t)
			refused := outcome.Refused(reason, "text")
			refused.RetryAfter = delay
			for _, o := range []outcome.Outcome{refused, refused.AsUnknown("it may have run"), outcome.Uncertain(reason, "text")} {
				w := httptest.NewRecorder()
				WriteOutcome(w, o)
				if !o.DidNotRun() {
					g.Expect(promises).NotTo(ContainElement(w.Code), "%v", o)
					continue
				}
				g.Expect(slices.Contains(promises, w.Code)).To(Equal(reason != outcome.UnknownKey && reason != outcome.Invalid), "%v", o)
				g.Expect(w.Header().Get("Retry-After") != "").To(Equal(delay > 0), "%v", o)
			}
		}
	}
}

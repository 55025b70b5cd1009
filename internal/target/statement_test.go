package target_test

import (
	"fmt"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	. "github.com/onsi/gomega"
)

// Guards against a status that counts as the statement that the request did not run, and against
// a statement that is lost because of the status beside it.
func TestOnlyAStatementMeansNotRun(t *testing.T) {
	for _, status := range []int{400, 404, 408, 421, 429, 500, 502, 503, 504} {
		for _, retryAfter := range []string{"", "Retry-After: 1\r\n"} {
			for body, kind := range map[string]outcome.Kind{
				notRunRefusal:                         outcome.NotRun,
				`{"run":true,"reason":"overload"}`:    outcome.Unknown,
				`{"run":null,"reason":"overload"}`:    outcome.Unknown,
				`{"reason":"overload"}`:               outcome.Unknown,
				`{"outcome":"not_run","run":"false"}`: outcome.Unknown,
				`no JSON`:                             outcome.Unknown,
				``:                                    outcome.Unknown,
			} {
				text := fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", status, retryAfter, len(body), body)
				for _, pooled := range []bool{true, false} {
					g := NewWithT(t)
					o, _ := lookup(t, text, pooled)
					g.Expect(o.Kind).To(Equal(kind), "status %d, %s%q, pooled %v: %v", status, retryAfter, body, pooled, o)
				}
			}
		}
	}
	g := NewWithT(t)
	o, _ := lookup(t, answertest.Sound(foundAnswer), true)
	g.Expect(o.Kind).To(Equal(outcome.Answered), "%v", o)
}

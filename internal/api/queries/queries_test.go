package queries_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/api/queries"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// backend answers every search and counts them.
type backend struct{ searches int }

func (b *backend) Search(context.Context, string, api.Meta, *api.SearchRequest) (*api.SearchResponse, outcome.Outcome) {
	b.searches++
	return &api.SearchResponse{Outcome: outcome.Answered, Coverage: 1}, outcome.OK()
}

func (b *backend) Entries() api.EntriesResponse { return api.EntriesResponse{} }

func (b *backend) Service(name string) (settings.ServiceKind, *settings.Policy, bool) {
	policy := settings.DefaultPolicy()
	policy.MaxBodyBytes = 100
	kinds := map[string]settings.ServiceKind{"tags": settings.KindSearch, "renewals": settings.KindCommand}
	return kinds[name], &policy, kinds[name] != ""
}

func (b *backend) RefusalOutcome(_ string, o outcome.Outcome) outcome.Outcome { return o }

func (b *backend) KeyRefusal(string, tenant.Credential) (outcome.Outcome, bool) {
	return outcome.Outcome{}, false
}

func request(path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

var _ = DescribeTable("search refuses an invalid request as not run",
	// Guards against an invalid request that runs with its valid fields only, and
	// against an error message that does not name the invalid field.
	func(r *http.Request, status int, message string) {
		b := &backend{}
		router := mux.NewRouter()
		queries.Register(router, b)
		api.HandleUnknownRoutes(router, "callers")
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(status))
		var e api.Error
		Expect(json.Unmarshal(w.Body.Bytes(), &e)).To(Succeed())
		Expect(e.Outcome).To(Equal(outcome.NotRun))
		Expect(e.Reason).To(Equal(outcome.Invalid))
		Expect(e.Message).To(ContainSubstring(message))
		Expect(b.searches).To(BeZero())
	},
	Entry("unknown path", request("/status", `{}`), 404, "POST /status does not exist on the listener for callers"),
	Entry("wrong method", httptest.NewRequest(http.MethodGet, "/v1/services/tags/search", nil), 405, "GET /v1/services/tags/search is not the method"),
	Entry("unknown service", request("/v1/services/nope/search", `{"terms":["a"]}`), 404, "service nope does not exist"),
	Entry("service of another kind", request("/v1/services/renewals/search", `{"terms":["a"]}`), 400, "does not search"),
	Entry("not JSON", request("/v1/services/tags/search", `terms`), 400, "body is not the expected JSON"),
	Entry("unknown field", request("/v1/services/tags/search", `{"term":["a"]}`), 400, `unknown field "term"`),
	Entry("trailing data", request("/v1/services/tags/search", `{"terms":["a"]}{}`), 400, "data after the JSON body"),
	Entry("body above the limit", request("/v1/services/tags/search", `{"terms":["`+strings.Repeat("a", 100)+`"]}`), 400, "body exceeds 100 bytes"),
	Entry("no terms", request("/v1/services/tags/search", `{}`), 400, "terms: at least one"),
	Entry("empty term", request("/v1/services/tags/search", `{"terms":[""]}`), 400, "terms[0]"),
	Entry("limit out of range", request("/v1/services/tags/search", `{"terms":["a"],"limit":-1}`), 400, "limit: -1"),
	Entry("deadline in the past", request("/v1/services/tags/search", `{"terms":["a"]}`, "Deadline-Ms", "-5"), 400, "5 ms in the past"),
	Entry("deadline that is not a number", request("/v1/services/tags/search", `{"terms":["a"]}`, "Deadline-Ms", "soon"), 400, "Deadline-Ms"),
	Entry("unknown priority", request("/v1/services/tags/search", `{"terms":["a"]}`, "Priority", "urgent"), 400, `"urgent"`),
)

var _ = Describe("RateLimiter", func() {
	// Guards against one caller address whose requests leave no capacity for others.
	It("refuses requests of an address above its rate but not of others", func() {
		limited := api.NewRateLimiter(func() int { return 2 }, new(backend).RefusalOutcome).Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
		status := func(remoteAddr string) int {
			r := httptest.NewRequest(http.MethodGet, "/v1/entries", nil)
			r.RemoteAddr = remoteAddr
			w := httptest.NewRecorder()
			limited.ServeHTTP(w, r)
			return w.Code
		}
		Expect([]int{status("10.0.0.1:1"), status("10.0.0.1:2"), status("10.0.0.1:3")}).To(Equal([]int{200, 200, 429}))
		Expect(status("10.0.0.2:1")).To(Equal(200))
	})
})

package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/api"
	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"github.com/lacewingyard/lacewingyard/internal/peer"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// twoTargets returns scriptedDocument with a second target in each group.
func twoTargets(address string) string {
	document := fmt.Sprintf(scriptedDocument, address)
	for _, id := range []string{"t0", "t1"} {
		first := fmt.Sprintf(`{"id": "%s", `, id)
		target := document[strings.Index(document, first):]
		target = target[:strings.Index(target, "}")+1]
		document = strings.Replace(document, target, target+", "+strings.Replace(target, id, id+"b", 1), 1)
	}
	return document
}

var _ = Describe("NotRunIsTrue: targets that fail with a status of refusals", func() {
	// Guards against "not run" for a search or lookup that one of its targets may have run, and
	// against another outcome for one that all of them refused.
	It("counts a request as not run only if each target that got it says so", func(ctx context.Context) {
		const (
			requests = 100
			warm     = `"state":"warm","boot_id":"b","index_versions":[1]`
			refusal  = `{"run":false,"reason":"overload",` + warm + `}`
		)
		failures := []string{`{"reason":"overload",` + warm + `}`, `{"run":true,"reason":"overload",` + warm + `}`, `no JSON`}
		statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusInternalServerError}
		t := testHooks{check: func(err error) { GinkgoHelper(); Expect(err).NotTo(HaveOccurred()) }, cleanup: func(f func()) { DeferCleanup(f) }}
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(49, 2))
		refused, failed := map[string]int{}, map[string]int{} // replies by request
		server, err := answertest.NewServer(func(r *http.Request) string {
			if r.Method != http.MethodPost || r.URL.Path != "/search" && r.URL.Path != "/lookup" {
				return answertest.Sound("{" + warm + "}")
			}
			mu.Lock()
			defer mu.Unlock()
			id, body := r.Header.Get(target.HeaderRequestID), refusal
			if rng.IntN(2) == 0 {
				refused[id]++
			} else {
				body = failures[rng.IntN(len(failures))]
				failed[id]++
			}
			return strings.Replace(answertest.Sound(body), "200 OK", fmt.Sprint(statuses[rng.IntN(len(statuses))], " Text"), 1)
		}, false)
		t.check(err)
		DeferCleanup(server.Close)
		authority, err := standin.NewAuthority()
		t.check(err)
		hosts := map[ordinalID]string{}
		var clients [2]*branchClient
		ready := make(chan struct{}) // closed when clients are set
		for ordinal := range clients {
			self := settings.Process{Name: fmt.Sprint("b-", ordinal), Place: "b", Ordinal: ordinal}
			serve := func(ctx context.Context, exchange wire.Exchange, s *peer.Stream) {
				<-ready
				switch branch := clients[ordinal].local; exchange {
				case wire.ExchangeQuarantine:
					branch.guard.serveNotice(s)
				case wire.ExchangeLookup:
					branch.serveLookup(ctx, s)
				default:
					branch.serveSearch(ctx, s)
				}
			}
			clients[ordinal], hosts[ordinalID{"b", ordinal}] = newTestHost(t, authority, self, server.Address(), serve)
		}
		tree, err := settings.Parse([]byte(twoTargets(server.Address())))
		t.check(err)
		for _, c := range clients {
			c.local.config.current.Store(tree)
			c.setHosts(hosts)
			DeferCleanup(c.local.close)
		}
		close(ready)
		e := newEntry(clients[0].self, clients[0].local.config, clients[0].directory, clients[0])
		e.guard = clients[0].local.guard
		outcomes := map[string]outcome.Outcome{}
		for i := range requests {
			id := fmt.Sprint("r", i)
			meta := api.Meta{RequestID: id, Deadline: 200 * time.Millisecond}
			if i%2 == 0 {
				answer, o := e.Search(ctx, "s", meta, &api.SearchRequest{Terms: []string{fmt.Sprint("t", i)}})
				if answer != nil {
					Expect(answer.Coverage).To(BeZero())
				}
				outcomes[id] = o
			} else {
				_, outcomes[id] = e.Lookup(ctx, "s", meta, &api.LookupRequest{ID: id})
			}
		}
		mu.Lock()
		defer mu.Unlock()
		reached, ran := 0, 0
		for id, o := range outcomes {
			Expect(o.DidNotRun()).To(Equal(failed[id] == 0), "%s: %v, %d targets refused it and %d failed", id, o, refused[id], failed[id])
			if failed[id] > 0 {
				ran++
			} else if refused[id] > 0 {
				reached++
			}
		}
		Expect(ran).To(BeNumerically(">", requests/10))
		Expect(reached).To(BeNumerically(">", requests/20))
	}, NodeTimeout(time.Minute))
})

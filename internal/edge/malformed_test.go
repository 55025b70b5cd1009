package edge_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lacewingyard/lacewingyard/pkg/roster"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// malformedTimeout is the time limit of the routes in these specs, and promptly how long a
	// caller may wait: the targets answer at once.
	malformedTimeout = 2 * time.Second
	promptly         = malformedTimeout / 2
	probeID          = "probe" // of requests that wait for the configuration
)

// malformedAnswers are texts that are no answers, by what is wrong with them. FIELDS stands for
// the fields that identify an answer, NOTRUN for the one that says "not run", LENGTH for the
// length of its body, BODY for 128 bytes and CHUNKS for the same in chunks. The target closes
// the connection after a text with "close".
var malformedAnswers = map[string]string{
	"status 000":                               "HTTP/1.1 000 OK\r\nFIELDSLENGTH\r\nBODY",
	"status 000 without a body":                "HTTP/1.1 000 OK\r\nFIELDSContent-Length: 0\r\n\r\n",
	"status 000 and the end of the connection": "HTTP/1.1 000 OK\r\nFIELDSConnection: close\r\n\r\nBODY",
	"status 000 with an answer as its body":    "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSLENGTH\r\nBODY",
	"status 000 that says not run":             "HTTP/1.1 000 Full\r\nFIELDSNOTRUNContent-Length: 0\r\n\r\n",
	"status 099":                               "HTTP/1.1 099 OK\r\nFIELDSLENGTH\r\nBODY",
	"a signed status":                          "HTTP/1.1 +99 OK\r\nFIELDSLENGTH\r\nBODY",
	"status 600":                               "HTTP/1.1 600 OK\r\nFIELDSLENGTH\r\nBODY",
	"status 999 that says not run":             "HTTP/1.1 999 Full\r\nFIELDSNOTRUNContent-Length: 0\r\n\r\n",
	"another protocol that nobody asked for":   "HTTP/1.1 101 Switching Protocols\r\nFIELDSUpgrade: x\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSLENGTH\r\nBODY",
	"another major version":                    "HTTP/2.0 200 OK\r\nFIELDSLENGTH\r\nBODY",
	"a control byte in the reason":             "HTTP/1.1 200 O\x00K\r\nFIELDSLENGTH\r\nBODY",
	"status 000 and then nothing":              "HTTP/1.1 000 OK\r\nFIELDS",
	"a malformed name and then nothing":        "HTTP/1.1 200 OK\r\nFIELDSX A: b\r\n",
	"a space before a colon":                   "HTTP/1.1 200 OK\r\nFIELDSLENGTHX-A : b\r\n\r\nBODY",
	"a space in a name":                        "HTTP/1.1 200 OK\r\nFIELDSLENGTHX A: b\r\n\r\nBODY",
	"a tab in a name":                          "HTTP/1.1 200 OK\r\nFIELDSLENGTHX\tA: b\r\n\r\nBODY",
	"a NUL in a name":                          "HTTP/1.1 200 OK\r\nFIELDSLENGTHX\x00A: b\r\n\r\nBODY",
	"a carriage return in a name":              "HTTP/1.1 200 OK\r\nFIELDSLENGTHX\rA: b\r\n\r\nBODY",
	"a space after the name of the length":     "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 16\r\nConnection: close\r\n\r\nBODY",
	"the same, and no end of the connection":   "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 128\r\n\r\nBODY",
	"a space after the name of the coding":     "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\nConnection: close\r\n\r\nCHUNKS\r\n",
	"a coding in HTTP/1.0":                     "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\nConnection: close\r\n\r\nCHUNKS\r\n",
	"a coding and a length":                    "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nCHUNKS\r\n",
	"a space in the name of a trailer":         "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nCHUNKSX A: b\r\n\r\n",
	"a chunk without a size":                   "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n\r\nCHUNKS\r\n",
	"two lengths":                              "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 16\r\nLENGTH\r\nBODY",
	"a signed length":                          "HTTP/1.1 200 OK\r\nFIELDSContent-Length: +128\r\n\r\nBODY",
	"a length, but no content":                 "HTTP/1.1 204 No Content\r\nFIELDSLENGTH\r\nBODY",
	"a length in an interim head":              "HTTP/1.1 103 Early Hints\r\nLENGTH\r\nHTTP/1.1 200 OK\r\nFIELDSLENGTH\r\nBODY",
	"a malformed name that says not run":       "HTTP/1.1 503 Full\r\nFIELDSNOTRUNX A: b\r\nContent-Length: 0\r\n\r\n",
	"a malformed name in an interim head":      "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSLENGTH\r\nBODY",
}

// malformedCase is one of malformedAnswers in a fixture.
type malformedCase struct {
	fault, text, name string // name begins those of its services
}

func malformedCases() (cases []malformedCase) {
	for i, fault := range slices.Sorted(maps.Keys(malformedAnswers)) {
		cases = append(cases, malformedCase{fault, malformedAnswers[fault], fmt.Sprint("m", i)})
	}
	return cases
}

// Kinds of requests: to one target, repeatable or not, and a fan-out to four shards of which
// one has the targets of the case.
const (
	itemKind = "item"
	onceKind = "once"
	partKind = "part"
)

func (c malformedCase) service(kind string) string { return c.name + kind }
func (c malformedCase) prefix(kind string) string  { return "/" + c.name + kind + "/" }
func (c malformedCase) shards() []string           { return append([]string{c.service(partKind)}, shards[1:]...) }

// addMalformedTargets registers the targets of each case and kind and publishes their routes. The
// first requests to each service get the malformed answer. It returns the counters of requests
// by service.
func (f *fixture) addMalformedTargets(cases []malformedCase, first int64) map[string]*atomic.Int64 {
	got := map[string]*atomic.Int64{}
	for _, c := range cases {
		for _, kind := range []string{itemKind, onceKind, partKind} {
			got[c.service(kind)] = f.answerTargets(c.service(kind), c.text, first)
		}
	}
	f.addMalformedRoutes(cases)
	return got
}

// addMalformedRoutes publishes a configuration with routes for each case and kind.
func (f *fixture) addMalformedRoutes(cases []malformedCase) {
	document := platformtest.Config(2, shards, malformedTimeout)
	for _, c := range cases {
		platformtest.AddRoute(document, c.service(itemKind), c.prefix(itemKind), true)
		platformtest.AddRoute(document, c.service(onceKind), c.prefix(onceKind), false)
		platformtest.AddRoute(document, c.service(partKind)+"s", c.prefix(partKind), true, c.shards()...)
	}
	f.store.Put(platformtest.ConfigKey, document)
	last := cases[len(cases)-1]
	Eventually(func() int {
		r := platformtest.Call(context.Background(), f.client, f.hosts[0].Address(f.hosts[0].Ports.Callers), "GET", last.prefix(itemKind)+"?", probeID, nil, malformedTimeout)
		return r.Status
	}, 5*time.Second).ShouldNot(Equal(404))
	time.Sleep(roster.SettleTime) // until then a host allows hardly any extra sends
}

// answerTargets registers two targets of a service, which answer the first requests that reach
// one of them with a text, and later ones well. It returns the counter of the requests.
func (f *fixture) answerTargets(service, text string, first int64) *atomic.Int64 {
	var got atomic.Int64
	for i := range 2 {
		f.scriptTarget(fmt.Sprint(service, "-", i), service, fmt.Sprint("p", i), func(c net.Conn, r *http.Request) bool {
			answer := soundAnswer
			if platformtest.RequestID(r) != probeID && got.Add(1) <= first {
				answer = text
			}
			body := string(platformtest.Records(service, r.RequestURI, 8))
			_, fields, _ := strings.Cut(platformtest.AnswerHead(service, r), "\r\n")
			_, err := io.WriteString(c, strings.NewReplacer("FIELDS", fields, "NOTRUN", platformtest.NotRunField, "LENGTH", fmt.Sprintf("Content-Length: %d\r\n", len(body)),
				"BODY", body, "CHUNKS", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)).Replace(answer))
			return err == nil && !strings.Contains(answer, "close")
		})
	}
	return &got
}

const soundAnswer = "HTTP/1.1 200 OK\r\nFIELDSLENGTH\r\nBODY"

var _ = Describe("Host with targets that send malformed answers", func() {
	// Guards against bytes that are no answer and reach callers as one, against those that count
	// as the promise that a request did not run, and against callers that wait for more of them.
	It("answers at once that the request may have run, or without the shard", func() {
		cases := malformedCases()
		f := newFixture(1)
		got := f.addMalformedTargets(cases, 2)
		for _, c := range cases {
			r, _, _ := f.call(f.hosts[0], "GET", c.prefix(itemKind), nil)
			Expect(r.Status).To(Equal(502), "%s: %v", c.fault, r.Err)
			Expect(r.Took).To(BeNumerically("<", promptly), c.fault)
			Expect(got[c.service(itemKind)].Load()).To(BeEquivalentTo(2), "%s: the other target is tried", c.fault)

			r, id, uri := f.call(f.hosts[0], "GET", c.prefix(partKind), nil)
			Expect(r.Status).To(Equal(200), "%s: %v", c.fault, r.Err)
			Expect(r.Took).To(BeNumerically("<", promptly), c.fault)
			Expect(r.Missing).To(Equal(1), c.fault)
			Expect(platformtest.CheckSearch(&r, id, uri, [][]string{c.shards()})).To(BeEmpty(), c.fault)
		}
	})

	It("gets the answer of another target to a request that may be repeated, and sends others once", func() {
		cases := malformedCases()
		f := newFixture(1)
		got := f.addMalformedTargets(cases, 1)
		for _, c := range cases {
			r, id, uri := f.call(f.hosts[0], "GET", c.prefix(itemKind), nil)
			Expect(r.Status).To(Equal(200), "%s: %v", c.fault, r.Err)
			Expect(r.Took).To(BeNumerically("<", promptly), c.fault)
			Expect(r.Digest).To(Equal(platformtest.Digest(c.service(itemKind), id)), c.fault)
			Expect(r.Body).To(Equal(platformtest.Records(c.service(itemKind), uri, 8)), c.fault)
			Expect(got[c.service(itemKind)].Load()).To(BeEquivalentTo(2), c.fault)

			r, id, uri = f.call(f.hosts[0], "GET", c.prefix(partKind), nil)
			Expect(r.Status).To(Equal(200), "%s: %v", c.fault, r.Err)
			Expect(r.Took).To(BeNumerically("<", promptly), c.fault)
			Expect(r.Missing).To(BeZero(), c.fault)
			Expect(platformtest.CheckSearch(&r, id, uri, [][]string{c.shards()})).To(BeEmpty(), c.fault)
			Expect(got[c.service(partKind)].Load()).To(BeEquivalentTo(2), c.fault)

			r, _, _ = f.call(f.hosts[0], "GET", c.prefix(onceKind), nil)
			Expect(r.Status).To(Equal(502), "%s: %v", c.fault, r.Err)
			Expect(r.Took).To(BeNumerically("<", promptly), c.fault)
			Expect(got[c.service(onceKind)].Load()).To(BeEquivalentTo(1), "%s: it may have run", c.fault)
		}
	})
})

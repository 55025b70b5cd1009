package target_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"github.com/lacewingyard/lacewingyard/internal/target"
	"github.com/lacewingyard/lacewingyard/internal/wire"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
	. "github.com/onsi/gomega"
)

const (
	foundAnswer   = `{"version":1,"found":false}`
	notRunRefusal = `{"run":false,"reason":"overload"}`
)

// lookup sends a lookup to a target that answers it with a text and probes with a refusal, on a
// connection of a pool or of a client of net/http.
func lookup(t *testing.T, text string, pooled bool) (outcome.Outcome, time.Duration) {
	g := NewWithT(t)
	server, err := answertest.NewServer(func(r *http.Request) string {
		if r.URL.Path == "/lookup" {
			return text
		}
		return answertest.Sound(notRunRefusal)
	}, false)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	client := target.NewClient(server.Address(), 1, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if pooled {
		p := target.NewPool(server.Address(), 1, 1, (&net.Dialer{}).DialContext, target.Events{
			Probed: func(time.Time, wire.TargetStatus) {}, Broken: func(time.Time) {}})
		defer p.Close()
		client, err = p.Acquire(ctx, true)
		g.Expect(err).NotTo(HaveOccurred())
		defer client.Release()
	}
	began := time.Now()
	_, _, o := client.Lookup(ctx, target.Request{ID: "1", Timeout: 3 * time.Second}, target.LookupBody{Service: "s", ID: "i"})
	return o, time.Since(began)
}

// Guards against malformed answers that count as an answer or as the promise that the request
// did not run, and against requests that wait for more until their deadline.
func TestMalformedAnswersPromiseNothing(t *testing.T) {
	for _, body := range []string{foundAnswer, notRunRefusal} {
		for fault, text := range answertest.Malformed(body) {
			for _, pooled := range []bool{true, false} {
				g := NewWithT(t)
				o, took := lookup(t, text, pooled)
				g.Expect(o.Kind).To(Equal(outcome.Unknown), "%s, %s, pooled %v: %v", fault, body, pooled, o)
				g.Expect(took).To(BeNumerically("<", time.Second), "%s, %s, pooled %v", fault, body, pooled)
			}
		}
	}
	g := NewWithT(t)
	for _, pooled := range []bool{true, false} {
		o, _ := lookup(t, answertest.Sound(foundAnswer), pooled)
		g.Expect(o.Kind).To(Equal(outcome.Answered), "%v", o)
	}
}

// Guards against a target whose answers to probes are malformed and that gets requests.
func TestMalformedAnswerToAProbeOpensNoConnection(t *testing.T) {
	for fault, text := range answertest.Malformed(notRunRefusal) {
		g := NewWithT(t)
		server, err := answertest.NewServer(func(*http.Request) string { return text }, false)
		g.Expect(err).NotTo(HaveOccurred())
		var probed atomic.Int64
		p := target.NewPool(server.Address(), 1, 1, (&net.Dialer{}).DialContext, target.Events{
			Probed: func(time.Time, wire.TargetStatus) { probed.Add(1) }, Broken: func(time.Time) {}})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err = p.Acquire(ctx, false)
		cancel()
		p.Close()
		_ = server.Close()
		g.Expect(err).To(HaveOccurred(), fault)
		g.Expect(probed.Load()).To(BeZero(), fault)
	}
}

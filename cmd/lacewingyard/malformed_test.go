package main

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
	"github.com/lacewingyard/lacewingyard/platform/platformtest"
	. "github.com/onsi/gomega"
)

// Guards against a command that shows bytes which are no answer of a host as its state, and
// against one that does not return.
func TestCommandsReportMalformedAnswers(t *testing.T) {
	faults := answertest.Malformed("{}")
	for _, fault := range slices.Sorted(maps.Keys(faults)) {
		t.Run(fault, func(t *testing.T) {
			g := NewWithT(t)
			server, err := answertest.NewServer(func(*http.Request) string { return faults[fault] }, true)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			for _, args := range [][]string{
				{"edge-status", "--operators", server.Address()},
				{"entries", "--entry", server.Address()},
				{"lookup", "--entry", server.Address(), "--service", "orders", "--id", "1"},
			} {
				cmd, stdout, stderr := newCommand(args...)
				g.Expect(cmd.Run()).NotTo(Succeed(), "%v: %s", args, stdout)
				g.Expect(stdout.String()).To(BeEmpty(), "%v", args)
				g.Expect(strings.ToLower(stderr.String())).To(ContainSubstring("malformed"), "%v", args)
			}
		})
	}
}

// Guards against a host process that passes on bytes which are no answer, or waits for more of them
// until the caller's time limit. Package edge has the specs of fan-outs and of other targets.
func TestEdgeProcessPassesNoMalformedAnswerOn(t *testing.T) {
	const itemPrefix, limit = "/item/", 3 * time.Second
	g := NewWithT(t)
	p := startEdgeWith(t, nil, func(config map[string]any, settings string) string {
		routes := config["routes"].([]map[string]any)
		item := maps.Clone(routes[0])
		maps.Copy(item, map[string]any{"name": "item", "prefix": itemPrefix, "route_type": "idempotent"})
		config["routes"] = append(routes, item)
		return settings
	})
	var text atomic.Value
	text.Store("")
	server, err := answertest.NewServer(func(r *http.Request) string {
		// The fields that identify the answer follow the last status line.
		answer, head := text.Load().(string), platformtest.AnswerHead(platformtest.AtMostOnceService, r)
		line := strings.LastIndex(answer, "HTTP/")
		end := line + strings.Index(answer[line:], "\r\n") + 2
		_, fields, _ := strings.Cut(head, "\r\n")
		return answer[:end] + fields + answer[end:]
	}, true)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	target := &platformtest.Target{ID: "once-1", Service: platformtest.AtMostOnceService, Address: server.Address(), Place: "a"}
	p.store.Put(target.Key(), target.Entry("ready"))
	p.store.Delete(p.target.Key())

	call := func(prefix, id, answer string) platformtest.Reply {
		text.Store(answer)
		return platformtest.Call(t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, p.Address(p.Ports.Callers), http.MethodGet, prefix+id, id, nil, limit)
	}
	sound := func(id string) func() string {
		return func() string { return string(call(itemPrefix, id, answertest.Sound("sound")).Body) }
	}
	g.Eventually(sound("first"), "10s", "50ms").Should(Equal("sound"))
	faults := answertest.Malformed("body")
	for _, fault := range slices.Sorted(maps.Keys(faults)) {
		for _, prefix := range []string{itemPrefix, platformtest.AtMostOncePrefix} {
			r := call(prefix, "id", faults[fault])
			g.Expect(r.Status).To(Equal(http.StatusBadGateway), "%s %s: %v", prefix, fault, r.Err)
			g.Expect(r.Took).To(BeNumerically("<", limit/2), "%s %s", prefix, fault)
			g.Expect(r.Digest).To(BeEmpty(), "%s %s", prefix, fault)
			// Until the target is in use again.
			g.Eventually(sound("again"), "10s", "50ms").Should(Equal("sound"))
		}
	}
}

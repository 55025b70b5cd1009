package main

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/lacewingyard/lacewingyard/internal/httpanswer/answertest"
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

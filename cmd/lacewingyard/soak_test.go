package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a change that breaks a promise under faults of real processes. More
// seeds are run by hand; this one keeps the soak itself from rotting.
func TestSoakKeepsThePromises(t *testing.T) {
	g := NewWithT(t)
	cmd, stdout, stderr := command("soak", "--seed", "7", "--for", "6s", "--hosts", "4", "--callers", "6")
	g.Expect(cmd.Run()).To(Succeed(), "%s%s", stdout, stderr)
	g.Expect(stdout.String()).To(MatchRegexp(`seed 7: [1-9]\d+ calls, .* 0 promises broken`))
}

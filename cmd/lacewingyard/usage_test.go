package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// Guards against a fault report that an operator cannot use because several faults
// share a line or one lacks the file, the field or the reason.
func TestCheckNamesFileFieldAndReason(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../examples/riga/config.json")
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "config.json")
	invalid := strings.Replace(strings.Replace(string(data), `"designated_level"`, `"designated_levl"`, 1), `"slots": 2`, `"slots": -2`, 1)
	g.Expect(os.WriteFile(file, []byte(invalid), 0o600)).To(Succeed())
	cmd, stdout, stderr := newCommand("check", file)
	g.Expect(cmd.Run()).NotTo(Succeed())
	g.Expect(cmd.ProcessState.ExitCode()).To(Equal(exitUsage))
	g.Expect(stdout.String()).To(BeEmpty())
	lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
	g.Expect(lines).To(HaveLen(4), stderr.String())
	g.Expect(lines[1:]).To(ConsistOf(file+": designated_level: is missing", file+": designated_levl: unknown field",
		MatchRegexp(`config\.json: services\..*\.groups\[\d+\]\.targets\[\d+\]\.slots: -2 is below 1`)))
	cmd, stdout, _ = newCommand("check", file, "-o", "json")
	g.Expect(cmd.Run()).NotTo(Succeed())
	var report checkReport
	g.Expect(json.Unmarshal(stdout.Bytes(), &report)).To(Succeed())
	g.Expect(report.Faults).To(ContainElement(settings.Fault{Path: "designated_level", Problem: "is missing"}))
}

// Guards against invalid flag values that are silently replaced or ignored, and
// against commands that resolve host names with DNS.
func TestInvalidFlagValuesAreUsageErrors(t *testing.T) {
	config := "../../examples/riga/config.json"
	for text, args := range map[string][]string{
		"not an IP address with a port":     {"status", "--operators", "localhost:8070"},
		"is not debug, info, warn or error": {"demo", "--settings", "x", "--log-level", "loud"},
		"the places are riga-a":             {"explain", "--config", config, "--place", "riga", "--service", "order-desk"},
		"is not the identifier of a trace":  {"trace", "--file", config, "abc"},
		"limit: -1 is":                      {"query", "--entry", "127.0.0.1:1", "--service", "s", "--term", "t", "--limit", "-1"},
		"--deadline must be at least 1ms":   {"lookup", "--entry", "127.0.0.1:1", "--service", "s", "--id", "x", "--deadline", "-1s"},
		"min_coverage: 7 is outside 0 to 1": {"query", "--entry", "127.0.0.1:1", "--service", "s", "--term", "t", "--min-coverage", "7"},
		"\"urgent\" is not one of critical": {"query", "--entry", "127.0.0.1:1", "--service", "s", "--term", "t", "--priority", "urgent"},
		"--report: mkdir":                   {"bench", "--settings", "../../examples/riga", "--report", "/proc/nowhere"},
		"--dir has no effect without --for": {"demo", "--settings", "x", "--dir", "y"},
	} {
		cmd, _, stderr := newCommand(args...)
		_ = cmd.Run()
		NewWithT(t).Expect(cmd.ProcessState.ExitCode()).To(Equal(exitUsage), "%v: %s", args, stderr)
		NewWithT(t).Expect(stderr.String()).To(ContainSubstring(text), "%v", args)
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/daemon"
	"github.com/lacewingyard/lacewingyard/internal/fleet"
	"github.com/lacewingyard/lacewingyard/internal/standin"
	"github.com/lacewingyard/lacewingyard/pkg/keyspace"
	"github.com/lacewingyard/lacewingyard/pkg/settings"
)

// newCommand returns a lacewingyard command that runs as a separate process, and the
// buffers of its output.
func newCommand(args ...string) (cmd *exec.Cmd, stdout, stderr *bytes.Buffer) {
	cmd = exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	stdout, stderr = new(bytes.Buffer), new(bytes.Buffer)
	cmd.Stdout, cmd.Stderr = stdout, stderr
	return cmd, stdout, stderr
}

// writeDeployment writes the files of a deployment and a case into a new directory.
func writeDeployment(t *testing.T, d *fleet.Deployment) string {
	dir := t.TempDir()
	d.Document.Version = 1
	for name, value := range map[string]any{"config.json": d.Document, "model.json": d.Model, "case.json": json.RawMessage(
		`{"name": "calm", "seconds": 1, "load": 0.1}`)} {
		data, err := json.Marshal(value)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(os.WriteFile(filepath.Join(dir, name), data, 0o600)).To(Succeed())
	}
	return dir
}

// Guards against progress, notes or identifiers on standard output, where a program
// would parse them as data, and against a command without JSON output.
func TestStandardOutputHoldsOnlyData(t *testing.T) {
	g := NewWithT(t)
	d := smallDeployment()
	d.Document.Services["slips"] = settings.Service{Kind: settings.KindCommand, PartitionEpoch: 1, Groups: []settings.Group{
		{ID: "slips", Range: keyspace.Full(), Targets: []settings.Target{{ID: "slips-0", Place: "north", Address: "127.0.0.1:2", Slots: 2, Connections: 8}}},
	}}
	d.Model.Services["slips"] = standin.ServiceModel{Records: 50, MedianMS: 1, Noun: "slip"}
	d.Document.Fleet.Settings["entries_ttl"] = json.RawMessage(`"1m"`) // keeps the drained host serving until the end of the test
	dir := writeDeployment(t, d)
	d.Traces = settings.Traces{File: filepath.Join(dir, "traces.json"), SampleRatio: 1}
	f, err := fleet.Start(t.Context(), d, hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	entry, operators, config := f.Hosts[0].Entry.Callers, f.Hosts[0].Operators, filepath.Join(dir, "config.json")
	keyFile := filepath.Join(dir, "tenant.key")
	g.Expect(os.WriteFile(keyFile, []byte("a-key\n"), 0o600)).To(Succeed())
	commands := map[string][]string{
		"check":      {config},
		"explain":    {"--config", config, "--place", "north", "--service", "tags"},
		"entries":    {"--entry", entry},
		"query":      {"--entry", entry, "--service", "tags", "--term", "red", "--trace"},
		"lookup":     {"--entry", entry, "--service", "slips", "--id", "slip-000007", "--trace"},
		"status":     {"--operators", operators},
		"key-digest": {keyFile},
		"version":    {},
		"demo":       {"--settings", dir, "--queries", "2", "--for", "1s", "--dir", filepath.Join(dir, "session")},
		"bench":      {"--settings", dir, "--case-file", filepath.Join(dir, "case.json"), "--seconds", "1"},
		"drain":      {"--operators", f.Hosts[1].Operators},
	}
	run := func(name string, args ...string) (stdout, stderr string) {
		cmd, out, errs := newCommand(append([]string{name}, args...)...)
		g.Expect(cmd.Run()).To(Succeed(), "%s: %s", name, errs)
		return out.String(), errs.String()
	}
	checkJSON := func(name, text string) {
		dec := json.NewDecoder(strings.NewReader(text))
		var value any
		g.Expect(dec.Decode(&value)).To(Succeed(), "%s: %s", name, text)
		_, err := dec.Token()
		g.Expect(err).To(Equal(io.EOF), "%s: %s", name, text)
	}
	trace := ""
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		text, stderr := run(name, append(commands[name], "-o", "json")...)
		checkJSON(name, text)
		text, _ = run(name, append(commands[name], "-o", "table")...)
		g.Expect(text).NotTo(Or(BeEmpty(), ContainSubstring("request-id:"), ContainSubstring("trace:"), ContainSubstring("operators http:")), name)
		if _, id, found := strings.Cut(stderr, "trace: "); found {
			trace = strings.TrimSpace(id)
		}
	}
	text, _ := run("demo", "--settings", dir, "--queries", "2", "--json")
	checkJSON("demo --json", text)
	f.Close() // flushes the remaining spans
	text, _ = run("trace", "--file", d.Traces.File, trace, "-o", "json")
	checkJSON("trace", text)
}

// Guards against invalid arguments that are reported as a failure of the command, and
// against failures that are reported as invalid arguments.
func TestExitStatus(t *testing.T) {
	for status, calls := range map[int][][]string{
		0:           {{"version"}, {"help"}, {"completion", "bash"}},
		exitFailure: {{"status", "--operators", "127.0.0.1:1"}},
		exitUsage:   {{"check"}, {"version", "extra"}, {"status"}, {"frobnicate"}, {"version", "-o", "yaml"}, {"demo", "--settings", "nowhere"}},
	} {
		for _, args := range calls {
			cmd, _, stderr := newCommand(args...)
			_ = cmd.Run()
			NewWithT(t).Expect(cmd.ProcessState.ExitCode()).To(Equal(status), "%v: %s", args, stderr)
		}
	}
}

// Guards against a demo that ends before operators can use it, against settings files of
// replacement hosts that cannot be loaded, and against edits of the configuration file
// that do not reach the hosts.
func TestDemoPublishesEditedConfiguration(t *testing.T) {
	g := NewWithT(t)
	sessionDir := filepath.Join(t.TempDir(), "session")
	cmd, _, _ := newCommand("demo", "--settings", writeDeployment(t, smallDeployment()), "--queries", "1", "--for", "1m", "--dir", sessionDir)
	stderr, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	g.Expect(err).NotTo(HaveOccurred())
	defer stderr.Close()
	cmd.Stderr = stderr
	stderrText := func() string { data, _ := os.ReadFile(stderr.Name()); return string(data) }
	g.Expect(cmd.Start()).To(Succeed())
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	config := filepath.Join(sessionDir, "config.json")
	g.Eventually(stderrText, "30s").Should(ContainSubstring("replacements"))
	replacements, err := filepath.Glob(filepath.Join(sessionDir, "replacements", "*"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replacements).To(HaveLen(2))
	_, err = settings.LoadProcess(replacements[0])
	g.Expect(err).NotTo(HaveOccurred())
	tree, err := settings.LoadDocument(config)
	g.Expect(err).NotTo(HaveOccurred())
	south := tree.Doc.Places["south"]
	south.State = settings.PlaceOut
	tree.Doc.Places["south"] = south
	tree.Doc.Version++
	data, err := json.Marshal(tree.Doc)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(config, data, 0o600)).To(Succeed())

	_, after, _ := strings.Cut(stderrText(), "operators http://")
	operators, _, _ := strings.Cut(after, "/")
	g.Eventually(func() (places []daemon.PlaceStatus) {
		status, text, _ := newCommand("status", "--operators", operators, "-o", "json")
		var got daemon.Status
		if status.Run() == nil && json.Unmarshal(text.Bytes(), &got) == nil {
			places = got.Places
		}
		return places
	}, "10s").Should(ContainElement(And(HaveField("Name", "south"), HaveField("State", "out"))))
	g.Expect(cmd.Process.Signal(os.Interrupt)).To(Succeed())
	g.Expect(cmd.Wait()).To(Succeed(), stderrText())
}

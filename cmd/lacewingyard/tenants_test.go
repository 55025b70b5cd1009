package main

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lacewingyard/lacewingyard/internal/demo"
	"github.com/lacewingyard/lacewingyard/pkg/tenant"
)

// Guards against a digest that hosts do not take, against a key in the text of an error, and
// against tools that show digests, which let a reader test guesses of a key.
func TestTenantsAreShownWithoutKeys(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	d := smallDeployment()
	keys := demo.AddTenants(d)
	document := filepath.Join(writeDeployment(t, d), "config.json")
	run := func(args ...string) (stdout, stderr string, status int) {
		cmd, out, errs := newCommand(args...)
		_ = cmd.Run()
		return out.String(), errs.String(), cmd.ProcessState.ExitCode()
	}
	for name, key := range keys {
		file := filepath.Join(dir, name)
		g.Expect(os.WriteFile(file, []byte(key+"\n"), 0o600)).To(Succeed())
		digest := tenant.Digest(key)
		text := hex.EncodeToString(digest[:])
		out, _, _ := run("key-digest", file)
		g.Expect(out).To(Equal(text + "\n"))
		for _, format := range []string{"table", "json"} {
			for _, args := range [][]string{{"check", document}, {"explain", "--config", document, "--place", "north", "--service", "tags"}} {
				out, errs, status := run(append(args, "-o", format)...)
				g.Expect(status).To(Equal(0), errs)
				g.Expect(out).NotTo(Or(ContainSubstring(text), ContainSubstring(key)))
				if format == "table" {
					g.Expect(out).To(ContainSubstring(name), "%v", args)
				}
			}
		}
	}
	out, _, _ := run("check", document, "-o", "json")
	var report checkReport
	g.Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
	g.Expect(report.Tenants).To(HaveLen(2))

	bad := filepath.Join(dir, "bad")
	g.Expect(os.WriteFile(bad, []byte("two words-of-a-key"), 0o600)).To(Succeed())
	for _, args := range [][]string{{"key-digest", bad}, {"query", "--entry", "127.0.0.1:1", "--service", "s", "--term", "t", "--key-file", bad}} {
		_, errs, status := run(args...)
		g.Expect(status).To(Equal(exitUsage))
		g.Expect(errs).NotTo(ContainSubstring("words-of-a-key"))
	}
}

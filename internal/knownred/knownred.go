// Package knownred passes over the checks that KNOWN-RED.txt lists. Only tests
// use it; .ci/known-red compares its calls with the list.
package knownred

import "os"

// EnvVar is the environment variable that makes the listed checks run.
const EnvVar = "KNOWN_RED"

// T is the part of testing.TB and ginkgo's GinkgoT that is needed.
type T interface {
	Helper()
	Name() string
	Fatalf(format string, args ...any)
	Skipf(format string, args ...any)
}

// Skip skips the rest of the running test unless Variable is set. The name must
// be the full name of the test, as KNOWN-RED.txt states it. The checks before
// the call still count.
func Skip(t T, name string) {
	t.Helper()
	if t.Name() != name {
		t.Fatalf("the known failure is named %q, the test %q", name, t.Name())
	}
	if os.Getenv(EnvVar) == "" {
		t.Skipf("%s: listed in KNOWN-RED.txt; %s=1 runs it", name, EnvVar)
	}
}

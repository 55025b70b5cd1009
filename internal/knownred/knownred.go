// Package knownred skips the tests that KNOWN-RED.txt lists as known failures. Only
// tests use it. It does not read the list; .ci/known-red compares the list with the
// calls of Skip.
package knownred

import "os"

// EnvVar is the environment variable that, if not empty, makes the listed tests run.
const EnvVar = "KNOWN_RED"

// T is the subset of testing.TB and Ginkgo's GinkgoT that Skip uses.
type T interface {
	Helper()
	Name() string
	Fatalf(format string, args ...any)
	Skipf(format string, args ...any)
}

// Skip skips the rest of the running test unless EnvVar is set. Assertions before
// the call still apply. The name must be the full name of the running test, as stated in
// KNOWN-RED.txt; any other name fails the test.
func Skip(t T, name string) {
	t.Helper()
	if t.Name() != name {
		t.Fatalf("known failure %q does not match the name of the running test %q", name, t.Name())
	}
	if os.Getenv(EnvVar) == "" {
		t.Skipf("%s: known failure listed in KNOWN-RED.txt; set %s=1 to run it", name, EnvVar)
	}
}
